package membership

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// makeMembers returns count live members.
func makeMembers(count int) []Member {
	members := make([]Member, count)
	for i := range members {
		members[i] = Member{ID: fmt.Sprint("m", i), Control: fmt.Sprint("m", i, ":1"), Generation: 1, Incarnation: 1}
	}
	return members
}

// syncLists compares the lists of two machines and returns the number of records sent in
// both directions.
func syncLists(from, to *Machine) int {
	asked := from.send("to", Sync, nil)
	reply := to.Receive(startTime, asked.Message)
	records := len(asked.Message.Updates) + len(reply.Updates)
	for _, push := range from.Replied(startTime, asked, reply) {
		records += len(push.Message.Updates)
		to.Receive(startTime, push.Message)
	}
	return records
}

// A comparison exchanges only the buckets that differ and leaves both lists equal.
func TestListsAreComparedByBucket(t *testing.T) {
	const known = 320
	extra := Member{ID: "extra", Control: "extra:1", Generation: 1, Incarnation: 1}
	suspected := makeMembers(1)[0]
	suspected.Status = Suspect
	dead := extra
	dead.Status = Dead
	cases := []struct {
		name        string
		left        []Member // updates for the machine that sends the Sync
		right       []Member // updates for the machine that replies
		maximumSent int
		minimumSent int
	}{
		{"equal lists", nil, nil, 0, 0},
		{"the replying machine has one more", nil, []Member{extra}, 10, 1},
		{"the sending machine has one more", []Member{extra}, nil, 10, 1},
		{"each has a different update", []Member{extra}, []Member{suspected}, 20, 2},
		{"one has a dead member", []Member{extra, dead}, nil, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			left, right := newMachine("left"), newMachine("right")
			receiveUpdates(left, append(makeMembers(known), right.Self())...)
			receiveUpdates(right, append(makeMembers(known), left.Self())...)
			is.Equal(left.digests, right.digests)
			receiveUpdates(left, c.left...)
			receiveUpdates(right, c.right...)
			sent := syncLists(left, right)
			is.True(sent >= c.minimumSent)
			is.True(sent <= c.maximumSent)
			is.Equal(left.digests, right.digests)
			is.Equal(syncLists(left, right), 0)
		})
	}
}

// A new process receives each record once.
func TestNewProcessReceivesCompleteList(t *testing.T) {
	is := is.New(t)
	newcomer, settled := newMachine("fresh"), newMachine("settled")
	receiveUpdates(settled, makeMembers(300)...)
	is.True(syncLists(newcomer, settled) <= 303)
	is.Equal(newcomer.digests, settled.digests)
}

// Updates received in bulk must not be gossiped again: in a mesh that starts all at once,
// that would send each record many times to every process.
func TestBulkUpdatesAreNotPassedOn(t *testing.T) {
	is := is.New(t)
	m := newMachine("a")
	before := len(m.updates.items)
	receiveUpdates(m, makeMembers(300)...)
	is.Equal(len(m.updates.items), before+1) // the sender's own record
	receiveUpdates(m, Member{ID: "one", Control: "one:1", Generation: 1, Incarnation: 1})
	is.Equal(len(m.updates.items), before+2)
}

// A forgotten member must be removed from all indexes.
func TestForgottenMemberIsRemoved(t *testing.T) {
	is := is.New(t)
	m := newMachine("a")
	member := other(1, Alive)
	receiveUpdates(m, member)
	member.Status = Dead
	receiveUpdates(m, member)
	m.Tick(startTime.Add(2 * m.config.ForgetAfter))
	_, known := findMember(m, "b")
	is.True(!known)
	is.Equal(len(m.byControl["b:1"]), 0)
}
