package membership

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// crowd are members that several machines know.
func crowd(count int) []Member {
	members := make([]Member, count)
	for i := range members {
		members[i] = Member{ID: fmt.Sprint("m", i), Control: fmt.Sprint("m", i, ":1"), Generation: 1, Version: 1}
	}
	return members
}

// exchange lets one machine compare its list with another's and returns the
// number of records that were sent in both directions.
func exchange(from, to *Machine) int {
	asked := from.send("to", Sync, nil)
	reply := to.Receive(epoch, asked.Message)
	records := len(asked.Message.Updates) + len(reply.Updates)
	for _, push := range from.Replied(epoch, asked, reply) {
		records += len(push.Message.Updates)
		to.Receive(epoch, push.Message)
	}
	return records
}

func TestListsAreComparedByParts(t *testing.T) {
	const known = 320
	extra := Member{ID: "extra", Control: "extra:1", Generation: 1, Version: 1}
	suspected := crowd(1)[0]
	suspected.Status = Suspect
	dead := extra
	dead.Status = Dead
	cases := []struct {
		name      string
		left      []Member // news for the one that asks
		right     []Member // news for the one that answers
		mostSent  int
		leastSent int
	}{
		{"equal lists", nil, nil, 0, 0},
		{"the asked one knows more", nil, []Member{extra}, 10, 1},
		{"the asking one knows more", []Member{extra}, nil, 10, 1},
		{"both know more", []Member{extra}, []Member{suspected}, 20, 2},
		{"one remembers a dead member", []Member{extra, dead}, nil, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			left, right := newMachine("left"), newMachine("right")
			news(left, append(crowd(known), right.Self())...)
			news(right, append(crowd(known), left.Self())...)
			is.Equal(left.digests, right.digests)
			news(left, c.left...)
			news(right, c.right...)
			sent := exchange(left, right)
			is.True(sent >= c.leastSent)
			is.True(sent <= c.mostSent)
			is.Equal(left.digests, right.digests)
			is.Equal(exchange(left, right), 0)
		})
	}
}

// TestANewProcessLearnsTheWholeListOnce.
func TestANewProcessLearnsTheWholeListOnce(t *testing.T) {
	is := is.New(t)
	fresh, settled := newMachine("fresh"), newMachine("settled")
	news(settled, crowd(300)...)
	is.True(exchange(fresh, settled) <= 303)
	is.Equal(fresh.digests, settled.digests)
}

// TestMuchNewsAtOnceIsNotPassedOn: 300 processes that each pass on 300 records a
// dozen times would send 300 MB.
func TestMuchNewsAtOnceIsNotPassedOn(t *testing.T) {
	is := is.New(t)
	m := newMachine("a")
	before := len(m.updates.items)
	news(m, crowd(300)...)
	is.Equal(len(m.updates.items), before+1) // the sender's own record
	news(m, Member{ID: "one", Control: "one:1", Generation: 1, Version: 1})
	is.Equal(len(m.updates.items), before+2)
}

// TestForgottenMembersLeaveNothingBehind.
func TestForgottenMembersLeaveNothingBehind(t *testing.T) {
	is := is.New(t)
	m := newMachine("a")
	gone := other(1, Alive)
	news(m, gone)
	gone.Status = Dead
	news(m, gone)
	m.Tick(epoch.Add(2 * m.config.ForgetAfter))
	_, known := believed(m, "b")
	is.True(!known)
	is.Equal(len(m.byControl["b:1"]), 0)
}
