package claims

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The seed is fixed so that every run checks the same cases. Check other cases with
// -rapid.seed=0 -rapid.checks=N.
func init() {
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.checks": "3000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// simulatedCluster is a mesh in which runners claim one key while messages are
// lost, delayed and duplicated, replicas crash and are replaced by empty ones, and
// the group changes its epoch.
type simulatedCluster struct {
	t   *rapid.T
	now time.Time
	// Running replicas by id.
	replicas map[string]*Replica
	// Ids of all replicas that were ever started.
	ids []string
	// The document in the store.
	stored *Groups
	// Messages that may still be delivered.
	messages []func()
	rounds   []*simulatedRound
	// Runs that won the key.
	winners map[string]bool
	broken  brokenRules
}

// brokenRules disables rules of the protocol, to show that the check detects the
// violation.
type brokenRules struct {
	noFence    bool // replicas vote at old epochs
	noTransfer bool // new replicas vote without collecting claims
	keepVote   bool // a replica that transferred its vote keeps voting
}

// simulatedRound is one claim of a runner.
type simulatedRound struct {
	run   string
	group Group
	round *Round
	// Voters whose reply was counted.
	replied map[string]bool
	// The runner has abandoned the run.
	givenUp bool

	// Earlier runs that the claim lists as abandoned.
	abandoned []string
}

func newSimulatedCluster(t *rapid.T, rules brokenRules) *simulatedCluster {
	s := &simulatedCluster{t: t, now: time.Unix(1000, 0), replicas: map[string]*Replica{}, winners: map[string]bool{}, broken: rules}
	for range 5 {
		s.startReplica()
	}
	s.stored = &Groups{Revision: 1, Groups: []Group{{Epoch: 1, Replicas: processes(s.ids[0], s.ids[1], s.ids[2])}}}
	for _, id := range s.ids {
		s.replicas[id].Adopt(s.now, s.stored)
	}
	return s
}

// startReplica starts a replica without claims.
func (s *simulatedCluster) startReplica() {
	id := fmt.Sprintf("r%d", len(s.ids))
	s.ids = append(s.ids, id)
	s.replicas[id] = NewReplica(ReplicaConfig{Self: process(id), Retention: time.Hour, MaximumClaims: 100})
}

func (s *simulatedCluster) running() []string {
	list := []string{}
	for _, id := range s.ids {
		if s.replicas[id] != nil {
			list = append(list, id)
		}
	}
	return list
}

func (s *simulatedCluster) pickRunning(label string) string {
	return rapid.SampledFrom(s.running()).Draw(s.t, label)
}

// claim starts a round with the document that a random replica knows.
func (s *simulatedCluster) claim() {
	known := s.replicas[s.pickRunning("runner")]
	if len(known.groups) == 0 {
		return
	}
	group := known.groups[0].group
	abandoned := []string{}
	for _, earlier := range s.rounds { // a runner that claims again abandons its earlier runs
		if !s.winners[earlier.run] && rapid.IntRange(0, 2).Draw(s.t, "give up") == 0 {
			earlier.givenUp = true
		}
		if earlier.givenUp {
			abandoned = append(abandoned, earlier.run)
		}
	}
	r := &simulatedRound{abandoned: abandoned, run: fmt.Sprintf("run%d", len(s.rounds)), group: group, round: NewRound(group), replied: map[string]bool{}}
	s.rounds = append(s.rounds, r)
	for _, replica := range group.Replicas {
		s.messages = append(s.messages, func() { s.deliverClaim(r, replica.ID, s.voteHolder(replica.ID, group.Epoch)) })
	}
}

// voteHolder returns the process to ask for the vote of a replica: its holder, or the
// replica itself where the sender does not know of the transfer.
func (s *simulatedCluster) voteHolder(replica string, epoch uint64) string {
	for _, id := range s.running() {
		for _, vote := range s.replicas[id].TakenVotes() {
			if vote.Replica == replica && vote.Epoch == epoch && rapid.IntRange(0, 2).Draw(s.t, "transfer known") > 0 {
				return id
			}
		}
	}
	return replica
}

// transferVote transfers the vote of one replica to another process. If the message is
// lost, so is the vote.
func (s *simulatedCluster) transferVote() {
	giver, taker := s.replicas[s.pickRunning("giver")], s.replicas[s.pickRunning("taker")]
	votes := giver.HeldVotes()
	if len(votes) == 0 || giver == taker {
		return
	}
	before := giver.groups[0].lastVotedEpoch
	handedOver, ok := giver.ReleaseVote(s.now, votes[0])
	if s.broken.keepVote && ok {
		giver.groups[0].votingEpoch, giver.groups[0].lastVotedEpoch, giver.groups[0].voteGivenEpoch = votes[0].Epoch, before, 0
	}
	if ok {
		s.messages = append(s.messages, func() { taker.AcceptVote(s.now, votes[0], handedOver) })
	}
}

// deliverClaim delivers a claim to the holder of one vote, and its reply to the runner
// unless it is lost.
func (s *simulatedCluster) deliverClaim(r *simulatedRound, voter, id string) {
	replica := s.replicas[id]
	if replica == nil {
		return
	}
	if s.broken.noFence && len(replica.groups) > 0 && replica.groups[0].group.Epoch > r.group.Epoch {
		replica.groups[0].group.Epoch, replica.groups[0].votingEpoch = r.group.Epoch, r.group.Epoch
	}
	if s.broken.noTransfer && len(replica.groups) > 0 {
		replica.groups[0].votingEpoch = replica.groups[0].group.Epoch
	}
	reply := replica.RequestClaim(s.now, 0, r.group.Epoch, Claim{Key: NewKey("key"), Run: r.run, Runner: process("x"), Abandoned: r.abandoned})
	if r.givenUp || r.replied[voter] || rapid.IntRange(0, 4).Draw(s.t, "reply lost") == 0 {
		return // each vote counts once
	}
	r.replied[voter] = true
	if r.round.Reply(reply) == Won {
		s.winners[r.run] = true
	}
}

// deliver drops a random message, delivers it, or delivers it and keeps a duplicate.
func (s *simulatedCluster) deliver() {
	if len(s.messages) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.messages)-1).Draw(s.t, "message")
	message := s.messages[i]
	fate := rapid.IntRange(0, 9).Draw(s.t, "fate")
	if fate != 0 {
		s.messages = append(s.messages[:i], s.messages[i+1:]...)
	}
	if fate != 1 {
		message()
	}
}

// changeEpoch plans new groups and writes them to the store.
func (s *simulatedCluster) changeEpoch() {
	candidates := []Candidate{}
	for _, id := range s.ids {
		alive := s.replicas[id] != nil
		leaving := alive && rapid.IntRange(0, 2).Draw(s.t, "leaving") == 0
		candidates = append(candidates, Candidate{Process: process(id), Zone: id, Alive: alive, Leaving: leaving})
	}
	planner := Planner{Groups: 1, Replicas: 3, Voting: func(int) bool { return rapid.Bool().Draw(s.t, "voting") }}
	plan := planner.Plan(s.stored, candidates)
	if plan.Changed > 0 {
		s.stored = plan.Next
	}
}

// collect starts a transfer of claims that a random replica still needs.
func (s *simulatedCluster) collect() {
	replica := s.replicas[s.pickRunning("collector")]
	fetches := replica.Fetches()
	if len(fetches) == 0 {
		return
	}
	fetch := rapid.SampledFrom(fetches).Draw(s.t, "fetch")
	source := s.replicas[s.voteHolder(fetch.From.ID, fetch.Epoch-1)]
	if source == nil {
		return
	}
	handedOver, ok := source.HandOver(s.now, fetch.Group, fetch.Epoch)
	if ok {
		s.messages = append(s.messages, func() { replica.TakeOver(s.now, fetch, handedOver) })
	}
}

func (s *simulatedCluster) runStep() {
	switch rapid.IntRange(0, 9).Draw(s.t, "step") {
	case 0, 1:
		s.claim()
	case 2:
		s.changeEpoch()
	case 3, 4:
		s.replicas[s.pickRunning("adopter")].Adopt(s.now, s.stored)
	case 5, 6:
		s.collect()
	case 7:
		s.transferVote()
		if rapid.IntRange(0, 3).Draw(s.t, "crash") == 0 {
			delete(s.replicas, s.pickRunning("crashed"))
			s.startReplica()
		}
	default:
		s.deliver()
		s.deliver()
	}
}

// simulate executes a random history and returns the number of runs that won the key.
func simulate(t *rapid.T, rules brokenRules) int {
	s := newSimulatedCluster(t, rules)
	for range rapid.IntRange(10, 120).Draw(t, "steps") {
		s.runStep()
	}
	for len(s.messages) > 0 {
		s.messages[0]()
		s.messages = s.messages[1:]
	}
	return len(s.winners)
}

func TestAtMostOneRunWinsAKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if winners := simulate(t, brokenRules{}); winners > 1 {
			t.Fatalf("%d runs won the same key", winners)
		}
	})
}

// Without any one of the rules, some history has two winners. Guards against a check that
// cannot fail.
func TestCheckDetectsBrokenRules(t *testing.T) {
	cases := []struct {
		name  string
		rules brokenRules
	}{
		{"replicas vote at old epochs", brokenRules{noFence: true}},
		{"new replicas vote without collecting claims", brokenRules{noTransfer: true}},
		{"a vote has two holders", brokenRules{keepVote: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			generator := rapid.Custom(func(t *rapid.T) int { return simulate(t, c.rules) })
			for seed := range 5000 {
				if generator.Example(seed) > 1 {
					return
				}
			}
			t.Fatal("found no history with two winners in 5000 seeds")
		})
	}
}
