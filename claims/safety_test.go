package claims

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The random cases are the same in every run, so that the verdict is too. More
// are tried with -rapid.seed=0 -rapid.checks=N.
func init() {
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.checks": "3000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// world is a mesh in which runners claim one key while messages are lost,
// delayed and delivered twice, replicas end and are replaced by empty ones, and
// the group changes its epoch.
type world struct {
	t        *rapid.T
	now      time.Time
	replicas map[string]*Replica // that are running
	ids      []string            // of all that ever ran
	stored   *Groups             // in the store
	mail     []func()            // messages that may still arrive
	rounds   []*simulatedRound
	winners  map[string]bool
	unsafe   unsafeRules
}

// unsafeRules break a rule of the protocol on purpose, to show that the check
// notices it.
type unsafeRules struct {
	noFence    bool // replicas vote at old epochs
	noTransfer bool // new replicas vote at once
	keepVote   bool // who gave its vote away goes on voting
}

// simulatedRound is one claim of a runner.
type simulatedRound struct {
	run   string
	group Group
	round *Round
	seen  map[string]bool
	over  bool // its runner has given it up

	abandoned []string
}

func newWorld(t *rapid.T, rules unsafeRules) *world {
	w := &world{t: t, now: time.Unix(1000, 0), replicas: map[string]*Replica{}, winners: map[string]bool{}, unsafe: rules}
	for range 5 {
		w.spawn()
	}
	w.stored = &Groups{Revision: 1, Groups: []Group{{Epoch: 1, Replicas: processes(w.ids[0], w.ids[1], w.ids[2])}}}
	for _, id := range w.ids {
		w.replicas[id].Adopt(w.now, w.stored)
	}
	return w
}

// spawn starts an empty replica.
func (w *world) spawn() {
	id := fmt.Sprintf("r%d", len(w.ids))
	w.ids = append(w.ids, id)
	w.replicas[id] = NewReplica(ReplicaConfig{Self: process(id), Retention: time.Hour, MaximumClaims: 100})
}

func (w *world) running() []string {
	list := []string{}
	for _, id := range w.ids {
		if w.replicas[id] != nil {
			list = append(list, id)
		}
	}
	return list
}

func (w *world) pick(label string) string {
	return rapid.SampledFrom(w.running()).Draw(w.t, label)
}

// claim begins a round with the document that some replica knows.
func (w *world) claim() {
	known := w.replicas[w.pick("runner")]
	if len(known.groups) == 0 {
		return
	}
	group := known.groups[0].group
	abandoned := []string{}
	for _, earlier := range w.rounds { // as runners do that ask again
		if !w.winners[earlier.run] && rapid.IntRange(0, 2).Draw(w.t, "give up") == 0 {
			earlier.over = true
		}
		if earlier.over {
			abandoned = append(abandoned, earlier.run)
		}
	}
	r := &simulatedRound{abandoned: abandoned, run: fmt.Sprintf("run%d", len(w.rounds)), group: group, round: NewRound(group), seen: map[string]bool{}}
	w.rounds = append(w.rounds, r)
	for _, replica := range group.Replicas {
		w.mail = append(w.mail, func() { w.ask(r, replica.ID, w.holder(replica.ID, group.Epoch)) })
	}
}

// holder returns who is asked for a vote: who has it, or, as a runner does
// that has not heard of a move, the replica itself.
func (w *world) holder(replica string, epoch uint64) string {
	for _, id := range w.running() {
		for _, vote := range w.replicas[id].TakenVotes() {
			if vote.Replica == replica && vote.Epoch == epoch && rapid.IntRange(0, 2).Draw(w.t, "heard") > 0 {
				return id
			}
		}
	}
	return replica
}

// move hands the vote of one replica to another process. The message may be
// lost; then the vote is.
func (w *world) move() {
	giver, taker := w.replicas[w.pick("giver")], w.replicas[w.pick("taker")]
	votes := giver.HeldVotes()
	if len(votes) == 0 || giver == taker {
		return
	}
	before := giver.groups[0].voted
	handed, ok := giver.GiveVote(w.now, votes[0])
	if w.unsafe.keepVote && ok {
		giver.groups[0].votes, giver.groups[0].voted, giver.groups[0].gaveVoteAt = votes[0].Epoch, before, 0
	}
	if ok {
		w.mail = append(w.mail, func() { taker.TakeVote(w.now, votes[0], handed) })
	}
}

// ask delivers a claim to the holder of one vote, and its reply.
func (w *world) ask(r *simulatedRound, voter, id string) {
	replica := w.replicas[id]
	if replica == nil {
		return
	}
	if w.unsafe.noFence && len(replica.groups) > 0 && replica.groups[0].group.Epoch > r.group.Epoch {
		replica.groups[0].group.Epoch, replica.groups[0].votes = r.group.Epoch, r.group.Epoch
	}
	if w.unsafe.noTransfer && len(replica.groups) > 0 {
		replica.groups[0].votes = replica.groups[0].group.Epoch
	}
	reply := replica.Ask(w.now, 0, r.group.Epoch, Claim{Key: NewKey("key"), Run: r.run, Runner: process("x"), Abandoned: r.abandoned})
	if r.over || r.seen[voter] || rapid.IntRange(0, 4).Draw(w.t, "reply lost") == 0 {
		return // a reply counts once
	}
	r.seen[voter] = true
	if r.round.Reply(reply) == Won {
		w.winners[r.run] = true
	}
}

// deliver delivers one message, loses it, or delivers it and keeps a copy.
func (w *world) deliver() {
	if len(w.mail) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.mail)-1).Draw(w.t, "message")
	message := w.mail[i]
	fate := rapid.IntRange(0, 9).Draw(w.t, "fate")
	if fate != 0 {
		w.mail = append(w.mail[:i], w.mail[i+1:]...)
	}
	if fate != 1 {
		message()
	}
}

// change writes a new epoch to the store, as the planner does.
func (w *world) change() {
	candidates := []Candidate{}
	for _, id := range w.ids {
		alive := w.replicas[id] != nil
		leaving := alive && rapid.IntRange(0, 2).Draw(w.t, "leaving") == 0
		candidates = append(candidates, Candidate{Process: process(id), Zone: id, Alive: alive, Leaving: leaving})
	}
	planner := Planner{Groups: 1, Replicas: 3, Voting: func(int) bool { return rapid.Bool().Draw(w.t, "voting") }}
	plan := planner.Plan(w.stored, candidates)
	if plan.Changed > 0 {
		w.stored = plan.Next
	}
}

// collect lets one replica collect claims from another.
func (w *world) collect() {
	replica := w.replicas[w.pick("collector")]
	fetches := replica.Fetches()
	if len(fetches) == 0 {
		return
	}
	fetch := rapid.SampledFrom(fetches).Draw(w.t, "fetch")
	source := w.replicas[w.holder(fetch.From.ID, fetch.Epoch-1)]
	if source == nil {
		return
	}
	handed, ok := source.HandOver(w.now, fetch.Group, fetch.Epoch)
	if ok {
		w.mail = append(w.mail, func() { replica.TakeOver(w.now, fetch, handed) })
	}
}

func (w *world) step() {
	switch rapid.IntRange(0, 9).Draw(w.t, "step") {
	case 0, 1:
		w.claim()
	case 2:
		w.change()
	case 3, 4:
		w.replicas[w.pick("adopter")].Adopt(w.now, w.stored)
	case 5, 6:
		w.collect()
	case 7:
		w.move()
		if rapid.IntRange(0, 3).Draw(w.t, "end") == 0 {
			delete(w.replicas, w.pick("ended"))
			w.spawn()
		}
	default:
		w.deliver()
		w.deliver()
	}
}

// play runs a random history and returns the number of runs that won the key.
func play(t *rapid.T, rules unsafeRules) int {
	w := newWorld(t, rules)
	for range rapid.IntRange(10, 120).Draw(t, "steps") {
		w.step()
	}
	for len(w.mail) > 0 {
		w.mail[0]()
		w.mail = w.mail[1:]
	}
	return len(w.winners)
}

func TestAtMostOneRunWinsAKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if winners := play(t, unsafeRules{}); winners > 1 {
			t.Fatalf("%d runs won the same key", winners)
		}
	})
}

// TestTheCheckNoticesBrokenRules shows the fault first: without the rules, a
// key is won twice in some history.
func TestTheCheckNoticesBrokenRules(t *testing.T) {
	cases := []struct {
		name  string
		rules unsafeRules
	}{
		{"replicas vote at old epochs", unsafeRules{noFence: true}},
		{"new replicas vote at once", unsafeRules{noTransfer: true}},
		{"a place has two holders", unsafeRules{keepVote: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			generator := rapid.Custom(func(t *rapid.T) int { return play(t, c.rules) })
			for seed := range 5000 {
				if generator.Example(seed) > 1 {
					return
				}
			}
			t.Fatal("no history was found in which a key is won twice")
		})
	}
}
