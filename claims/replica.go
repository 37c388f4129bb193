package claims

import (
	"slices"
	"time"
)

// Claim asks for the exclusive right to run the request with a key.
type Claim struct {
	Key Key `json:"key"`
	// Fingerprint is a hash of the request. It detects a key that was used for
	// two different requests.
	Fingerprint uint64 `json:"fingerprint"`
	// Run is unique for each attempt to run the request.
	Run    string  `json:"run"`
	Runner Process `json:"runner"`
	// Abandoned lists earlier runs of the key whose runners reported that they
	// have not run and never will. The claim replaces theirs.
	Abandoned []string `json:"abandoned,omitempty"`
}

// replaces reports whether the claim may replace the known one, which requires
// that every run that may have won the key was abandoned.
func (c *Claim) replaces(known *heldClaim) bool {
	if !slices.Contains(c.Abandoned, known.claim.Run) {
		return false
	}
	for _, run := range known.otherRuns {
		if !slices.Contains(c.Abandoned, run) {
			return false
		}
	}
	return true
}

// Answer is the stored answer to a request that ran.
type Answer struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header"`
	Body   []byte              `json:"body"`
}

// size returns the approximate memory use in bytes.
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

// Verdict is the outcome of a claim at one replica.
type Verdict int

// Verdicts of a replica.
const (
	Granted Verdict = iota
	Held            // another run holds the key
	Stale           // the runner's epoch is older than the replica's
	Behind          // the replica does not know the epoch yet
	Syncing         // the replica is still collecting claims
	Full            // the replica holds ReplicaConfig.MaximumClaims claims
)

// Reply is a replica's reply to a claim. Holder and Answer are set only with
// Held; Answer is nil while the replica has none.
type Reply struct {
	Verdict Verdict `json:"verdict"`
	Holder  *Claim  `json:"holder,omitempty"`
	Answer  *Answer `json:"answer,omitempty"`
}

// heldClaim is a claim that a replica granted or took over.
type heldClaim struct {
	claim Claim
	// Runs that hold the key at other replicas. One of them may have won it.
	otherRuns []string
	expires   time.Time
	answer    *Answer
}

// groupState is the state of one group in this process.
type groupState struct {
	// The group at the highest epoch known.
	group Group
	// The epoch at which this process votes, 0 if it does not vote.
	votingEpoch uint64
	// The last epoch at which this process voted. 0 if it never did or has
	// transferred its vote since.
	lastVotedEpoch uint64
	// Claims of this and earlier epochs.
	claims map[Key]*heldClaim
	// Replicas of the previous epoch whose claims have been collected.
	collectedFrom map[string]bool
	// When voting starts after a reset.
	votingStartsAt time.Time
	// When this process ceased to be a replica or transferred its vote.
	retiredAt time.Time
	// The replica whose vote this process took over, "" for none.
	transferredFrom string
	// The epoch at which this process transferred its vote to another process.
	voteGivenEpoch uint64
	// The vote that this process took over last.
	lastTakenVote Vote
}

// ReplicaConfig configures a Replica.
type ReplicaConfig struct {
	// Self identifies this process.
	Self Process
	// Retention is how long claims are kept. It must be the same in all processes.
	Retention time.Duration
	// MaximumClaims bounds the number of claims held, over all groups.
	MaximumClaims int
	// MaximumAnswerBytes bounds the memory of stored answers, over all groups.
	// Default 4 MiB.
	MaximumAnswerBytes int
}

const defaultMaximumAnswerBytes = 4 << 20

// Replica holds claims for the groups to which its process belongs. It is not
// safe for concurrent use.
type Replica struct {
	config      ReplicaConfig
	revision    uint64
	groups      []groupState
	count       int
	answerBytes int
	// Runners by id. The claims of a runner share one copy, to save memory.
	runners map[string]Process
	expiry  expiryQueue
}

// NewReplica returns a Replica that knows no groups.
func NewReplica(config ReplicaConfig) *Replica {
	if config.MaximumAnswerBytes == 0 {
		config.MaximumAnswerBytes = defaultMaximumAnswerBytes
	}
	return &Replica{config: config, runners: map[string]Process{}}
}

// Adopt applies a Groups document and reports whether its revision is newer than
// the one known. Groups whose epoch is not newer are left unchanged.
func (r *Replica) Adopt(now time.Time, document *Groups) bool {
	if document.Revision <= r.revision {
		return false
	}
	r.revision = document.Revision
	for len(r.groups) < len(document.Groups) {
		r.groups = append(r.groups, groupState{claims: map[Key]*heldClaim{}})
	}
	for i := range document.Groups {
		r.adoptGroup(now, &r.groups[i], document.Groups[i])
	}
	return true
}

// adoptGroup fences this process at the group's new epoch and starts to collect
// claims.
func (r *Replica) adoptGroup(now time.Time, state *groupState, group Group) {
	if group.Epoch <= state.group.Epoch {
		return
	}
	wasVoter := state.votingEpoch == state.group.Epoch && state.votingEpoch > 0
	before, votedAs := state.group, r.voterID(state)
	state.group = group
	state.transferredFrom = ""
	state.votingEpoch = 0
	state.collectedFrom = map[string]bool{}
	if !containsProcess(group.Replicas, r.config.Self.ID) {
		state.retiredAt = now
		return
	}
	if wasVoter && before.Epoch == group.Epoch-1 {
		state.collectedFrom[votedAs] = true
	}
	if group.Reset {
		state.votingStartsAt = now.Add(r.config.Retention)
	}
	r.activate(now, state)
}

// activate makes this process vote at the current epoch if it is a replica and
// the claims of a majority of the previous epoch have been collected, or, after a
// reset, the retention time has passed.
func (r *Replica) activate(now time.Time, state *groupState) {
	if !containsProcess(state.group.Replicas, r.config.Self.ID) || state.votingEpoch == state.group.Epoch || state.voteGivenEpoch == state.group.Epoch {
		return
	}
	if state.group.Reset && now.Before(state.votingStartsAt) {
		return
	}
	if len(state.group.Previous) > 0 && len(state.collectedFrom) < majority(len(state.group.Previous)) {
		return
	}
	state.votingEpoch = state.group.Epoch
	state.lastVotedEpoch = state.votingEpoch
}

// IsVoter reports whether this process votes in the group at the highest epoch known.
func (r *Replica) IsVoter(group int) bool {
	if group >= len(r.groups) {
		return false
	}
	state := &r.groups[group]
	return state.votingEpoch > 0 && state.votingEpoch == state.group.Epoch
}

// Revision returns the revision of the adopted Groups document, 0 for none.
func (r *Replica) Revision() uint64 { return r.revision }

// GroupCount returns the number of groups in the adopted document.
func (r *Replica) GroupCount() int { return len(r.groups) }

// Len returns the number of claims held.
func (r *Replica) Len() int { return r.count }

// RequestClaim handles a claim that a runner makes at an epoch of a group. A granted claim
// is held for the retention time.
func (r *Replica) RequestClaim(now time.Time, group int, epoch uint64, claim Claim) Reply {
	r.Expire(now)
	if group >= len(r.groups) || r.groups[group].group.Epoch < epoch {
		return Reply{Verdict: Behind}
	}
	state := &r.groups[group]
	if state.group.Epoch > epoch {
		return Reply{Verdict: Stale}
	}
	r.activate(now, state)
	if state.votingEpoch != epoch {
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

// reply returns the reply to a claim for a key that is held. A repeated claim of
// the same run is granted again.
func (h *heldClaim) reply(claim Claim) Reply {
	if h.claim.Run == claim.Run && len(h.otherRuns) == 0 {
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
	inserted := &heldClaim{claim: claim, expires: expires}
	state.claims[claim.Key] = inserted
	r.count++
	r.expiry.push(expiryItem{at: expires, key: claim.Key})
	r.setAnswer(inserted, answer)
}

// setAnswer stores an answer. An answer that would exceed MaximumAnswerBytes is
// dropped.
func (r *Replica) setAnswer(target *heldClaim, answer *Answer) {
	if answer == nil || target.answer != nil {
		return
	}
	size := answer.size()
	if r.answerBytes+size > r.config.MaximumAnswerBytes {
		return
	}
	r.answerBytes += size
	target.answer = answer
}

// Withdraw removes the claim of a run that has not started and never will.
func (r *Replica) Withdraw(group int, key Key, run string) {
	if group >= len(r.groups) {
		return
	}
	state := &r.groups[group]
	known, exists := state.claims[key]
	if exists && known.claim.Run == run && len(known.otherRuns) == 0 {
		r.remove(state, key, known)
	}
}

// Finish stores the answer of a completed run.
func (r *Replica) Finish(group int, key Key, run string, answer *Answer) {
	if group >= len(r.groups) {
		return
	}
	if known, exists := r.groups[group].claims[key]; exists && known.claim.Run == run {
		r.setAnswer(known, answer)
	}
}

func (r *Replica) remove(state *groupState, key Key, known *heldClaim) {
	if known.answer != nil {
		r.answerBytes -= known.answer.size()
	}
	delete(state.claims, key)
	r.count--
}

// Expire deletes claims whose retention time has passed.
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
