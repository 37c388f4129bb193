package claims

import (
	"slices"
	"time"
)

// Claim is the right of one run to run a request.
type Claim struct {
	Key         Key     `json:"key"`
	Fingerprint uint64  `json:"fingerprint"` // of the request, to notice a key used twice
	Run         string  `json:"run"`         // unique for each attempt to run
	Runner      Process `json:"runner"`
	// Abandoned lists earlier runs of the key that, as their runners say, have
	// not run and never will. The claim takes their place where they are held.
	Abandoned []string `json:"abandoned,omitempty"`
}

// replaces reports whether the claim may take the place of what is held: every
// run that may have won the key must have been abandoned.
func (c *Claim) replaces(known *held) bool {
	if !slices.Contains(c.Abandoned, known.claim.Run) {
		return false
	}
	for _, run := range known.others {
		if !slices.Contains(c.Abandoned, run) {
			return false
		}
	}
	return true
}

// Answer is the stored answer of a request that ran.
type Answer struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header"`
	Body   []byte              `json:"body"`
}

// size is the memory of an answer in bytes, about.
func (a *Answer) size() int {
	size := len(a.Body) + 64
	for name, values := range a.Header {
		size += len(name) + 32
		for _, value := range values {
			size += len(value) + 16
		}
	}
	return size
}

// Verdict is a replica's answer to a claim.
type Verdict int

// Verdicts.
const (
	Granted Verdict = iota
	Held            // another run has the key
	Stale           // the runner's epoch is old
	Behind          // the replica does not know the epoch yet
	Syncing         // the replica is still collecting claims
	Full            // the replica holds as many claims as it may
)

// Reply is a replica's answer to a claim.
type Reply struct {
	Verdict Verdict `json:"verdict"`
	Holder  *Claim  `json:"holder,omitempty"` // with Held
	Answer  *Answer `json:"answer,omitempty"` // with Held, when it is known
}

// held is a claim as a replica keeps it.
type held struct {
	claim   Claim
	others  []string // runs that hold the key at other replicas, one of which may have won it
	expires time.Time
	answer  *Answer
}

// groupState is what a process keeps of one group.
type groupState struct {
	group      Group           // the highest epoch known
	votes      uint64          // the epoch at which this process votes, 0 for none
	voted      uint64          // the last epoch at which it voted
	claims     map[Key]*held   // of this and earlier epochs
	sources    map[string]bool // replicas of the epoch before whose claims are here
	votesAt    time.Time       // after a reset, when it starts to vote
	retired    time.Time       // when it ceased to be a replica
	votesFor   string          // the other replica whose vote this process has, "" for none
	gaveVoteAt uint64          // the epoch at which it gave its vote away
	takenVote  Vote            // the vote of another that it took last
}

// ReplicaConfig configures a Replica.
type ReplicaConfig struct {
	// Self names this process.
	Self Process
	// Retention is how long claims are kept. It must be equal in the mesh.
	Retention time.Duration
	// MaximumClaims bounds the claims of all groups together.
	MaximumClaims int
	// MaximumAnswerBytes bounds the memory of stored answers. Default 4 MiB.
	MaximumAnswerBytes int
}

const defaultAnswerBytes = 4 << 20

// Replica is the part of a process that holds claims. It is not safe for
// concurrent use.
type Replica struct {
	config      ReplicaConfig
	revision    uint64
	groups      []groupState
	count       int
	answerBytes int
	runners     map[string]Process // shared copies, to save memory
	expiry      expiryQueue
}

// NewReplica returns a Replica that knows no groups.
func NewReplica(config ReplicaConfig) *Replica {
	if config.MaximumAnswerBytes == 0 {
		config.MaximumAnswerBytes = defaultAnswerBytes
	}
	return &Replica{config: config, runners: map[string]Process{}}
}

// Adopt takes a Groups document and reports whether it is newer than the one
// known. Groups of an older epoch than known are ignored.
func (r *Replica) Adopt(now time.Time, document *Groups) bool {
	if document.Revision <= r.revision {
		return false
	}
	r.revision = document.Revision
	for len(r.groups) < len(document.Groups) {
		r.groups = append(r.groups, groupState{claims: map[Key]*held{}})
	}
	for i := range document.Groups {
		r.adoptGroup(now, &r.groups[i], document.Groups[i])
	}
	return true
}

// adoptGroup fences the group at its new epoch and begins to collect claims.
func (r *Replica) adoptGroup(now time.Time, state *groupState, group Group) {
	if group.Epoch <= state.group.Epoch {
		return
	}
	wasVoter := state.votes == state.group.Epoch && state.votes > 0
	before, votedAs := state.group, r.votesAs(state)
	state.group = group
	state.votesFor = ""
	state.votes = 0
	state.sources = map[string]bool{}
	if !has(group.Replicas, r.config.Self.ID) {
		state.retired = now
		return
	}
	if wasVoter && before.Epoch == group.Epoch-1 {
		state.sources[votedAs] = true
	}
	if group.Reset {
		state.votesAt = now.Add(r.config.Retention)
	}
	r.activate(now, state)
}

// activate starts to vote once enough claims have been collected.
func (r *Replica) activate(now time.Time, state *groupState) {
	if !has(state.group.Replicas, r.config.Self.ID) || state.votes == state.group.Epoch || state.gaveVoteAt == state.group.Epoch {
		return
	}
	if state.group.Reset && now.Before(state.votesAt) {
		return
	}
	if len(state.group.Previous) > 0 && len(state.sources) < majority(len(state.group.Previous)) {
		return
	}
	state.votes = state.group.Epoch
	state.voted = state.votes
}

// Votes reports whether this process votes in the group at its highest epoch.
func (r *Replica) Votes(group int) bool {
	if group >= len(r.groups) {
		return false
	}
	state := &r.groups[group]
	return state.votes > 0 && state.votes == state.group.Epoch
}

// Revision returns the revision of the Groups document known.
func (r *Replica) Revision() uint64 { return r.revision }

// Groups returns the number of groups known.
func (r *Replica) Groups() int { return len(r.groups) }

// Len returns the number of claims held.
func (r *Replica) Len() int { return r.count }

// Ask answers a claim for a group at an epoch.
func (r *Replica) Ask(now time.Time, group int, epoch uint64, claim Claim) Reply {
	r.Expire(now)
	if group >= len(r.groups) || r.groups[group].group.Epoch < epoch {
		return Reply{Verdict: Behind}
	}
	state := &r.groups[group]
	if state.group.Epoch > epoch {
		return Reply{Verdict: Stale}
	}
	r.activate(now, state)
	if state.votes != epoch {
		return Reply{Verdict: Syncing}
	}
	if known, exists := state.claims[claim.Key]; exists {
		if !claim.replaces(known) {
			return known.reply(claim)
		}
		r.remove(state, claim.Key, known)
	}
	if r.count >= r.config.MaximumClaims {
		return Reply{Verdict: Full}
	}
	r.insert(state, claim, now.Add(r.config.Retention), nil)
	return Reply{Verdict: Granted}
}

// reply answers a claim for a key that is held. Asking twice for the same run
// is granted twice.
func (h *held) reply(claim Claim) Reply {
	if h.claim.Run == claim.Run && len(h.others) == 0 {
		return Reply{Verdict: Granted}
	}
	holder := h.claim
	return Reply{Verdict: Held, Holder: &holder, Answer: h.answer}
}

func (r *Replica) insert(state *groupState, claim Claim, expires time.Time, answer *Answer) {
	claim.Abandoned = nil
	if shared, exists := r.runners[claim.Runner.ID]; exists {
		claim.Runner = shared
	} else {
		r.runners[claim.Runner.ID] = claim.Runner
	}
	inserted := &held{claim: claim, expires: expires}
	state.claims[claim.Key] = inserted
	r.count++
	r.expiry.push(expiryItem{at: expires, key: claim.Key})
	r.setAnswer(inserted, answer)
}

// setAnswer stores an answer while there is memory for it.
func (r *Replica) setAnswer(into *held, answer *Answer) {
	if answer == nil || into.answer != nil {
		return
	}
	size := answer.size()
	if r.answerBytes+size > r.config.MaximumAnswerBytes {
		return
	}
	r.answerBytes += size
	into.answer = answer
}

// Withdraw removes the claim of a run that has not run and will not.
func (r *Replica) Withdraw(group int, key Key, run string) {
	if group >= len(r.groups) {
		return
	}
	state := &r.groups[group]
	known, exists := state.claims[key]
	if exists && known.claim.Run == run && len(known.others) == 0 {
		r.remove(state, key, known)
	}
}

// Finish stores the answer of a run.
func (r *Replica) Finish(group int, key Key, run string, answer *Answer) {
	if group >= len(r.groups) {
		return
	}
	if known, exists := r.groups[group].claims[key]; exists && known.claim.Run == run {
		r.setAnswer(known, answer)
	}
}

func (r *Replica) remove(state *groupState, key Key, known *held) {
	if known.answer != nil {
		r.answerBytes -= known.answer.size()
	}
	delete(state.claims, key)
	r.count--
}

// Expire forgets claims whose retention has passed.
func (r *Replica) Expire(now time.Time) {
	for {
		item, due := r.expiry.pop(now)
		if !due {
			return
		}
		state := &r.groups[item.key.GroupIndex(len(r.groups))]
		known, exists := state.claims[item.key]
		if exists && !known.expires.After(now) {
			r.remove(state, item.key, known)
		}
	}
}
