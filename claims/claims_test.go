package claims

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var epoch = time.Unix(1000, 0)

const retention = time.Minute

func process(id string) Process { return Process{ID: id, Control: id} }

func newReplica(id string) *Replica {
	return NewReplica(ReplicaConfig{Self: process(id), Retention: retention, MaximumClaims: 100})
}

func document(revision uint64, group Group) *Groups {
	return &Groups{Revision: revision, Groups: []Group{group}}
}

func processes(ids ...string) []Process {
	list := []Process{}
	for _, id := range ids {
		list = append(list, process(id))
	}
	return list
}

func claimOf(key, run string) Claim {
	return Claim{Key: NewKey(key), Run: run, Runner: process("runner")}
}

func TestReplicaAnswers(t *testing.T) {
	first := document(1, Group{Epoch: 1, Replicas: processes("a", "b", "c")})
	second := document(2, Group{Epoch: 2, Replicas: processes("a", "b", "d"), Previous: processes("a", "b", "c")})
	cases := []struct {
		name    string
		prepare func(*Replica)
		epoch   uint64
		at      time.Duration
		want    Verdict
	}{
		{"a free key", func(*Replica) {}, 1, 0, Granted},
		{"a key held by another run", func(r *Replica) { r.Ask(epoch, 0, 1, claimOf("k", "other")) }, 1, 0, Held},
		{"the same run again", func(r *Replica) { r.Ask(epoch, 0, 1, claimOf("k", "run")) }, 1, 0, Granted},
		{"another key is held", func(r *Replica) { r.Ask(epoch, 0, 1, claimOf("other", "other")) }, 1, 0, Granted},
		{"after the retention time", func(r *Replica) { r.Ask(epoch, 0, 1, claimOf("k", "other")) }, 1, retention + 1, Granted},
		{"shortly before it", func(r *Replica) { r.Ask(epoch, 0, 1, claimOf("k", "other")) }, 1, retention - 1, Held},
		{"after a withdrawal", func(r *Replica) { r.Ask(epoch, 0, 1, claimOf("k", "other")); r.Withdraw(0, NewKey("k"), "other") }, 1, 0, Granted},
		{"after a withdrawal of another run", func(r *Replica) { r.Ask(epoch, 0, 1, claimOf("k", "other")); r.Withdraw(0, NewKey("k"), "run") }, 1, 0, Held},
		{"an epoch that is not known", func(*Replica) {}, 2, 0, Behind},
		{"an epoch that is over", func(r *Replica) { r.Adopt(epoch, second) }, 1, 0, Stale},
		{"while claims are collected", func(r *Replica) { r.Adopt(epoch, second) }, 2, 0, Syncing},
		{"after they were collected", func(r *Replica) {
			r.Adopt(epoch, second)
			r.TakeOver(epoch, Fetch{From: process("b"), Epoch: 2}, nil)
		}, 2, 0, Granted},
		{"a claim that was collected", func(r *Replica) {
			r.Adopt(epoch, second)
			r.TakeOver(epoch, Fetch{From: process("b"), Epoch: 2}, []Transferred{{Claim: claimOf("k", "other"), Left: retention}})
		}, 2, 0, Held},
		{"full", func(r *Replica) {
			for i := range 100 {
				r.Ask(epoch, 0, 1, claimOf(fmt.Sprint(i), "other"))
			}
		}, 1, 0, Full},
		{"full, after the retention time", func(r *Replica) {
			for i := range 100 {
				r.Ask(epoch, 0, 1, claimOf(fmt.Sprint(i), "other"))
			}
		}, 1, retention + 1, Granted},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			replica := newReplica("a")
			replica.Adopt(epoch, first)
			c.prepare(replica)
			is.Equal(replica.Ask(epoch.Add(c.at), 0, c.epoch, claimOf("k", "run")).Verdict, c.want)
		})
	}
}

func TestResetWaitsForTheRetentionTime(t *testing.T) {
	is := is.New(t)
	replica := newReplica("d")
	replica.Adopt(epoch, document(5, Group{Epoch: 3, Replicas: processes("d", "e", "f"), Reset: true}))
	is.Equal(replica.Ask(epoch, 0, 3, claimOf("k", "run")).Verdict, Syncing)
	is.Equal(replica.Ask(epoch.Add(retention), 0, 3, claimOf("k", "run")).Verdict, Granted)
}

func TestHandOverOnlyFromVotersThatAreFenced(t *testing.T) {
	is := is.New(t)
	voter, newcomer := newReplica("a"), newReplica("d")
	first := document(1, Group{Epoch: 1, Replicas: processes("a", "b", "c")})
	second := document(2, Group{Epoch: 2, Replicas: processes("a", "b", "d"), Previous: processes("a", "b", "c")})
	voter.Adopt(epoch, first)
	_, ok := voter.HandOver(epoch, 0, 2)
	is.True(!ok) // not fenced yet
	voter.Adopt(epoch, second)
	_, ok = voter.HandOver(epoch, 0, 2)
	is.True(ok)
	newcomer.Adopt(epoch, second)
	_, ok = newcomer.HandOver(epoch, 0, 2)
	is.True(!ok) // never voted at epoch 1
}

// TestAnAbandonedRunDoesNotHideAnother: a replica that holds an abandoned run is
// told of another one that may have won the key.
func TestAnAbandonedRunDoesNotHideAnother(t *testing.T) {
	is := is.New(t)
	replica := newReplica("a")
	replica.Adopt(epoch, document(1, Group{Epoch: 1, Replicas: processes("a", "b", "c")}))
	is.Equal(replica.Ask(epoch, 0, 1, claimOf("k", "abandoned")).Verdict, Granted)
	replica.Adopt(epoch, document(2, Group{Epoch: 2, Replicas: processes("a", "b", "d"), Previous: processes("a", "b", "c")}))
	replica.TakeOver(epoch, Fetch{From: process("b"), Epoch: 2}, []Transferred{{Claim: claimOf("k", "winner"), Left: retention}})
	again := claimOf("k", "again")
	again.Abandoned = []string{"abandoned"}
	is.Equal(replica.Ask(epoch, 0, 2, again).Verdict, Held)
}

func TestAnAbandonedRunIsReplaced(t *testing.T) {
	is := is.New(t)
	replica := newReplica("a")
	replica.Adopt(epoch, document(1, Group{Epoch: 1, Replicas: processes("a")}))
	is.Equal(replica.Ask(epoch, 0, 1, claimOf("k", "abandoned")).Verdict, Granted)
	again := claimOf("k", "again")
	again.Abandoned = []string{"abandoned"}
	is.Equal(replica.Ask(epoch, 0, 1, again).Verdict, Granted)
	is.Equal(replica.Ask(epoch, 0, 1, claimOf("k", "other")).Verdict, Held)
}

func TestOlderDocumentsAreIgnored(t *testing.T) {
	is := is.New(t)
	replica := newReplica("a")
	is.True(replica.Adopt(epoch, document(2, Group{Epoch: 2, Replicas: processes("a")})))
	is.True(!replica.Adopt(epoch, document(1, Group{Epoch: 1, Replicas: processes("a", "b", "c")})))
	is.Equal(replica.Revision(), uint64(2))
}

func TestAnswersAreKeptWithinTheirMemory(t *testing.T) {
	is := is.New(t)
	replica := NewReplica(ReplicaConfig{Self: process("a"), Retention: retention, MaximumClaims: 100, MaximumAnswerBytes: 1000})
	replica.Adopt(epoch, document(1, Group{Epoch: 1, Replicas: processes("a")}))
	for _, key := range []string{"one", "two"} {
		replica.Ask(epoch, 0, 1, claimOf(key, key))
		replica.Finish(0, NewKey(key), key, &Answer{Status: 200, Body: make([]byte, 600)})
	}
	is.True(replica.Ask(epoch, 0, 1, claimOf("one", "x")).Answer != nil)
	is.True(replica.Ask(epoch, 0, 1, claimOf("two", "x")).Answer == nil) // no memory left, still held
}

func TestRound(t *testing.T) {
	held := Reply{Verdict: Held, Holder: &Claim{}}
	granted, stale, syncing := Reply{Verdict: Granted}, Reply{Verdict: Stale}, Reply{Verdict: Syncing}
	cases := []struct {
		name    string
		replies []Reply
		silent  int
		want    Decision
	}{
		{"nothing yet", nil, 0, Pending},
		{"one of three", []Reply{granted}, 0, Pending},
		{"two of three", []Reply{granted, granted}, 0, Won},
		{"two of three, one held", []Reply{held, granted, granted}, 0, Won},
		{"held by two", []Reply{held, held}, 0, Lost},
		{"split with a silent one", []Reply{held, granted}, 1, Lost},
		{"two silent", []Reply{granted}, 2, Unavailable},
		{"stale", []Reply{stale, stale}, 0, Outdated},
		{"syncing", []Reply{syncing, syncing}, 0, Unavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			round := NewRound(Group{Replicas: processes("a", "b", "c")})
			for _, reply := range c.replies {
				round.Reply(reply)
			}
			for range c.silent {
				round.NoReply()
			}
			is.Equal(round.Decision(), c.want)
		})
	}
}

func candidate(id, zone string) Candidate {
	return Candidate{Process: process(id), Zone: zone, Alive: true}
}

func TestPlan(t *testing.T) {
	all := []Candidate{candidate("a", "z1"), candidate("b", "z2"), candidate("c", "z3"), candidate("d", "z1"), candidate("e", "z2")}
	current := document(7, Group{Epoch: 3, Replicas: processes("a", "b", "c")})
	change := func(adjust func([]Candidate)) []Candidate {
		changed := append([]Candidate{}, all...)
		adjust(changed)
		return changed
	}
	cases := []struct {
		name       string
		current    *Groups
		candidates []Candidate
		voting     bool
		changed    int
		lost       int
		reset      bool
	}{
		{"a new mesh", nil, all, true, 1, 0, false},
		{"nothing to do", current, all, true, 0, 0, false},
		{"one dead", current, change(func(l []Candidate) { l[0].Alive = false }), true, 1, 0, false},
		{"one leaving", current, change(func(l []Candidate) { l[0].Leaving = true }), true, 1, 0, false},
		{"one dead, but the last change has not settled", current, change(func(l []Candidate) { l[0].Alive = false }), false, 0, 0, false},
		{"two unreachable", current, change(func(l []Candidate) { l[0].Alive, l[1].Alive = false, false }), true, 0, 1, false},
		{"two gone for certain", current, change(func(l []Candidate) {
			l[0].Alive, l[1].Alive, l[0].Gone, l[1].Gone = false, false, true, true
		}), true, 1, 0, true},
		{"one gone, one unreachable", current, change(func(l []Candidate) {
			l[0].Alive, l[1].Alive, l[0].Gone = false, false, true
		}), true, 0, 1, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			planner := Planner{Groups: 1, Replicas: 3, Voting: func(int) bool { return c.voting }}
			plan := planner.Plan(c.current, c.candidates)
			is.Equal(plan.Changed, c.changed)
			is.Equal(plan.Lost, c.lost)
			group := plan.Next.Groups[0]
			is.Equal(group.Reset, c.reset)
			if c.changed == 0 {
				return
			}
			is.Equal(len(group.Replicas), 3)
			zones := map[string]bool{}
			for _, replica := range group.Replicas {
				for _, one := range c.candidates {
					if one.ID == replica.ID {
						is.True(one.Alive && !one.Leaving)
						zones[one.Zone] = true
					}
				}
			}
			if c.name == "a new mesh" {
				is.Equal(len(zones), 3) // one in each zone
			}
		})
	}
}

func ExampleReplica() {
	replica := NewReplica(ReplicaConfig{Self: Process{ID: "a"}, Retention: time.Minute, MaximumClaims: 1000})
	now := time.Now()
	replica.Adopt(now, &Groups{Revision: 1, Groups: []Group{{Epoch: 1, Replicas: []Process{{ID: "a"}}}}})
	first := replica.Ask(now, 0, 1, Claim{Key: NewKey("payment", "42"), Run: "first"})
	second := replica.Ask(now, 0, 1, Claim{Key: NewKey("payment", "42"), Run: "second"})
	fmt.Println(first.Verdict == Granted, second.Verdict == Held)
	// Output: true true
}
