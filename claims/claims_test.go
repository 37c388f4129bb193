package claims

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var startTime = time.Unix(1000, 0)

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

func TestReplicaVerdicts(t *testing.T) {
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
		{"a key held by another run", func(r *Replica) { r.RequestClaim(startTime, 0, 1, claimOf("k", "other")) }, 1, 0, Held},
		{"the same run again", func(r *Replica) { r.RequestClaim(startTime, 0, 1, claimOf("k", "run")) }, 1, 0, Granted},
		{"another key held", func(r *Replica) { r.RequestClaim(startTime, 0, 1, claimOf("other", "other")) }, 1, 0, Granted},
		{"after the retention time", func(r *Replica) { r.RequestClaim(startTime, 0, 1, claimOf("k", "other")) }, 1, retention + 1, Granted},
		{"shortly before the retention time", func(r *Replica) { r.RequestClaim(startTime, 0, 1, claimOf("k", "other")) }, 1, retention - 1, Held},
		{"after a withdrawal", func(r *Replica) {
			r.RequestClaim(startTime, 0, 1, claimOf("k", "other"))
			r.Withdraw(0, NewKey("k"), "other")
		}, 1, 0, Granted},
		{"after a withdrawal of another run", func(r *Replica) {
			r.RequestClaim(startTime, 0, 1, claimOf("k", "other"))
			r.Withdraw(0, NewKey("k"), "run")
		}, 1, 0, Held},
		{"an unknown epoch", func(*Replica) {}, 2, 0, Behind},
		{"an epoch that has ended", func(r *Replica) { r.Adopt(startTime, second) }, 1, 0, Stale},
		{"while collecting claims", func(r *Replica) { r.Adopt(startTime, second) }, 2, 0, Syncing},
		{"after collecting claims", func(r *Replica) {
			r.Adopt(startTime, second)
			r.TakeOver(startTime, Fetch{From: process("b"), Epoch: 2}, nil)
		}, 2, 0, Granted},
		{"a collected claim", func(r *Replica) {
			r.Adopt(startTime, second)
			r.TakeOver(startTime, Fetch{From: process("b"), Epoch: 2}, []TransferredClaim{{Claim: claimOf("k", "other"), Remaining: retention}})
		}, 2, 0, Held},
		{"full", func(r *Replica) {
			for i := range 100 {
				r.RequestClaim(startTime, 0, 1, claimOf(fmt.Sprint(i), "other"))
			}
		}, 1, 0, Full},
		{"full, after the retention time", func(r *Replica) {
			for i := range 100 {
				r.RequestClaim(startTime, 0, 1, claimOf(fmt.Sprint(i), "other"))
			}
		}, 1, retention + 1, Granted},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			replica := newReplica("a")
			replica.Adopt(startTime, first)
			c.prepare(replica)
			is.Equal(replica.RequestClaim(startTime.Add(c.at), 0, c.epoch, claimOf("k", "run")).Verdict, c.want)
		})
	}
}

func TestResetWaitsForRetentionTime(t *testing.T) {
	is := is.New(t)
	replica := newReplica("d")
	replica.Adopt(startTime, document(5, Group{Epoch: 3, Replicas: processes("d", "e", "f"), Reset: true}))
	is.Equal(replica.RequestClaim(startTime, 0, 3, claimOf("k", "run")).Verdict, Syncing)
	is.Equal(replica.RequestClaim(startTime.Add(retention), 0, 3, claimOf("k", "run")).Verdict, Granted)
}

// A replica hands over claims only once it is fenced at the new epoch and if it voted at
// the previous one: otherwise a decided claim could be missing.
func TestHandOverRequiresFencedVoter(t *testing.T) {
	is := is.New(t)
	voter, newcomer := newReplica("a"), newReplica("d")
	first := document(1, Group{Epoch: 1, Replicas: processes("a", "b", "c")})
	second := document(2, Group{Epoch: 2, Replicas: processes("a", "b", "d"), Previous: processes("a", "b", "c")})
	voter.Adopt(startTime, first)
	_, ok := voter.HandOver(startTime, 0, 2)
	is.True(!ok) // handed over claims before it was fenced
	voter.Adopt(startTime, second)
	_, ok = voter.HandOver(startTime, 0, 2)
	is.True(ok)
	newcomer.Adopt(startTime, second)
	_, ok = newcomer.HandOver(startTime, 0, 2)
	is.True(!ok) // handed over claims without having voted at epoch 1
}

// A claim that replaces an abandoned run must not replace another run that was transferred
// for the same key and may have won it.
func TestAbandonedRunDoesNotHideWinner(t *testing.T) {
	is := is.New(t)
	replica := newReplica("a")
	replica.Adopt(startTime, document(1, Group{Epoch: 1, Replicas: processes("a", "b", "c")}))
	is.Equal(replica.RequestClaim(startTime, 0, 1, claimOf("k", "abandoned")).Verdict, Granted)
	replica.Adopt(startTime, document(2, Group{Epoch: 2, Replicas: processes("a", "b", "d"), Previous: processes("a", "b", "c")}))
	replica.TakeOver(startTime, Fetch{From: process("b"), Epoch: 2}, []TransferredClaim{{Claim: claimOf("k", "winner"), Remaining: retention}})
	again := claimOf("k", "again")
	again.Abandoned = []string{"abandoned"}
	is.Equal(replica.RequestClaim(startTime, 0, 2, again).Verdict, Held)
}

func TestAbandonedRunIsReplaced(t *testing.T) {
	is := is.New(t)
	replica := newReplica("a")
	replica.Adopt(startTime, document(1, Group{Epoch: 1, Replicas: processes("a")}))
	is.Equal(replica.RequestClaim(startTime, 0, 1, claimOf("k", "abandoned")).Verdict, Granted)
	again := claimOf("k", "again")
	again.Abandoned = []string{"abandoned"}
	is.Equal(replica.RequestClaim(startTime, 0, 1, again).Verdict, Granted)
	is.Equal(replica.RequestClaim(startTime, 0, 1, claimOf("k", "other")).Verdict, Held)
}

func TestOlderDocumentIsIgnored(t *testing.T) {
	is := is.New(t)
	replica := newReplica("a")
	is.True(replica.Adopt(startTime, document(2, Group{Epoch: 2, Replicas: processes("a")})))
	is.True(!replica.Adopt(startTime, document(1, Group{Epoch: 1, Replicas: processes("a", "b", "c")})))
	is.Equal(replica.Revision(), uint64(2))
}

func TestAnswerMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	replica := NewReplica(ReplicaConfig{Self: process("a"), Retention: retention, MaximumClaims: 100, MaximumAnswerBytes: 1000})
	replica.Adopt(startTime, document(1, Group{Epoch: 1, Replicas: processes("a")}))
	for _, key := range []string{"one", "two"} {
		replica.RequestClaim(startTime, 0, 1, claimOf(key, key))
		replica.Finish(0, NewKey(key), key, &Answer{Status: 200, Body: make([]byte, 600)})
	}
	is.True(replica.RequestClaim(startTime, 0, 1, claimOf("one", "x")).Answer != nil)
	is.True(replica.RequestClaim(startTime, 0, 1, claimOf("two", "x")).Answer == nil) // exceeds MaximumAnswerBytes, so only the claim is held
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
		{"no replies", nil, 0, Pending},
		{"one of three", []Reply{granted}, 0, Pending},
		{"two of three", []Reply{granted, granted}, 0, Won},
		{"two of three granted, one held", []Reply{held, granted, granted}, 0, Won},
		{"held by two", []Reply{held, held}, 0, Lost},
		{"one held, one granted, one silent", []Reply{held, granted}, 1, Lost},
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
		name            string
		current         *Groups
		candidates      []Candidate
		voting          bool
		changed         int
		withoutMajority int
		reset           bool
	}{
		{"a new mesh", nil, all, true, 1, 0, false},
		{"no change needed", current, all, true, 0, 0, false},
		{"one dead", current, change(func(l []Candidate) { l[0].Alive = false }), true, 1, 0, false},
		{"one leaving", current, change(func(l []Candidate) { l[0].Leaving = true }), true, 1, 0, false},
		{"one dead, new replicas not voting yet", current, change(func(l []Candidate) { l[0].Alive = false }), false, 0, 0, false},
		{"two unreachable", current, change(func(l []Candidate) { l[0].Alive, l[1].Alive = false, false }), true, 0, 1, false},
		{"two confirmed gone", current, change(func(l []Candidate) {
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
			is.Equal(plan.WithoutMajority, c.withoutMajority)
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
				is.Equal(len(zones), 3) // one replica in each zone
			}
		})
	}
}

func ExampleReplica() {
	replica := NewReplica(ReplicaConfig{Self: Process{ID: "a"}, Retention: time.Minute, MaximumClaims: 1000})
	now := time.Now()
	replica.Adopt(now, &Groups{Revision: 1, Groups: []Group{{Epoch: 1, Replicas: []Process{{ID: "a"}}}}})
	first := replica.RequestClaim(now, 0, 1, Claim{Key: NewKey("payment", "42"), Run: "first"})
	second := replica.RequestClaim(now, 0, 1, Claim{Key: NewKey("payment", "42"), Run: "second"})
	fmt.Println(first.Verdict == Granted, second.Verdict == Held)
	// Output: true true
}
