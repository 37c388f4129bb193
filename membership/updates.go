package membership

import "sort"

// updateQueue holds the updates still to be passed on. Those sent the fewest times are
// taken first.
type updateQueue struct {
	items []queuedUpdate
}

type queuedUpdate struct {
	member Member
	// Number of messages that carried the update.
	sent int
}

// add queues an update and drops an older one of the same member.
func (q *updateQueue) add(member Member) {
	for i := range q.items {
		if q.items[i].member.ID == member.ID {
			q.items[i] = queuedUpdate{member: member}
			return
		}
	}
	q.items = append(q.items, queuedUpdate{member: member})
}

// take returns at most count updates for a message and removes those that have then been
// sent limit times.
func (q *updateQueue) take(count, limit int) []Member {
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
