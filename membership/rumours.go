package membership

import (
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// rumourQueue holds the updates that are still to be passed on. Those that were
// sent least often go first.
type rumourQueue struct {
	items []rumour
}

type rumour struct {
	member Member
	sent   int
}

// add queues an update and drops an older one of the same member.
func (q *rumourQueue) add(member Member) {
	for i := range q.items {
		if q.items[i].member.ID == member.ID {
			q.items[i] = rumour{member: member}
			return
		}
	}
	q.items = append(q.items, rumour{member: member})
}

// take returns at most count updates and forgets those sent limit times.
func (q *rumourQueue) take(count, limit int) []Member {
	if len(q.items) == 0 {
		return nil
	}
	sort.SliceStable(q.items, func(i, j int) bool { return q.items[i].sent < q.items[j].sent })
	taken := make([]Member, 0, min(count, len(q.items)))
	kept := q.items[:0]
	for i, item := range q.items {
		if i < count {
			taken = append(taken, item.member)
			item.sent++
		}
		if item.sent < limit {
			kept = append(kept, item)
		}
	}
	q.items = kept
	return taken
}

// hashMember is the share of one record in the digest of a list. Who suspects
// a member does not count, since it differs between processes, nor do dead members,
// which some processes have forgotten or never knew.
func hashMember(member Member) uint64 {
	if member.Status == Dead {
		return 0
	}
	var buffer [128]byte
	text := append(buffer[:0], member.ID...)
	text = append(text, ' ')
	text = strconv.AppendUint(text, member.Version, 10)
	text = append(text, ' ')
	text = strconv.AppendInt(text, int64(member.Status), 10)
	return xxhash.Sum64(text)
}
