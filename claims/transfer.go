package claims

import (
	"slices"
	"time"
)

// TransferredClaim is one claim that is transferred to another replica.
type TransferredClaim struct {
	Claim Claim `json:"claim"`
	// OtherRuns lists other runs that may hold the key.
	OtherRuns []string `json:"others,omitempty"`
	// Remaining is the rest of the retention time.
	Remaining time.Duration `json:"left_ns"`
	Answer    *Answer       `json:"answer,omitempty"`
}

// Fetch describes a transfer of the claims of one group from a replica of the
// previous epoch to this process.
type Fetch struct {
	From  Process
	Group int
	// Epoch is the new epoch.
	Epoch uint64
}

// Fetches returns the transfers that this process may still need before it votes.
func (r *Replica) Fetches() []Fetch {
	missing := []Fetch{}
	for i := range r.groups {
		state := &r.groups[i]
		isReplica := containsProcess(state.group.Replicas, r.config.Self.ID)
		if state.votingEpoch == state.group.Epoch || state.voteGivenEpoch == state.group.Epoch || !isReplica {
			continue
		}
		for _, source := range state.group.Previous {
			if !state.collectedFrom[source.ID] {
				missing = append(missing, Fetch{From: source, Group: i, Epoch: state.group.Epoch})
			}
		}
	}
	return missing
}

// HandOver returns the claims of a group for a replica of the given new epoch. It
// reports false when this process has not adopted that epoch, and so is not fenced
// yet, or has not voted at the previous epoch or later.
func (r *Replica) HandOver(now time.Time, group int, epoch uint64) ([]TransferredClaim, bool) {
	if group >= len(r.groups) {
		return nil, false
	}
	state := &r.groups[group]
	if state.group.Epoch < epoch || state.lastVotedEpoch < epoch-1 {
		return nil, false
	}
	handedOver := make([]TransferredClaim, 0, len(state.claims))
	for _, known := range state.claims {
		remaining := known.expires.Sub(now)
		if remaining > 0 {
			handedOver = append(handedOver, TransferredClaim{Claim: known.claim, OtherRuns: known.otherRuns, Remaining: remaining, Answer: known.answer})
		}
	}
	return handedOver, true
}

// TakeOver stores the claims that a fetch returned and reports whether this process
// now votes in the group. It ignores a fetch for another epoch, or one that returns
// after this process started to vote, and reports false.
func (r *Replica) TakeOver(now time.Time, fetch Fetch, handedOver []TransferredClaim) bool {
	if fetch.Group >= len(r.groups) {
		return false
	}
	state := &r.groups[fetch.Group]
	if state.group.Epoch != fetch.Epoch || state.votingEpoch == fetch.Epoch {
		return false
	}
	for _, transferred := range handedOver {
		r.merge(now, state, transferred)
	}
	state.collectedFrom[fetch.From.ID] = true
	r.activate(now, state)
	return state.votingEpoch == state.group.Epoch
}

// merge stores one transferred claim. When another run holds the key here, either
// run may have won it, so both block the key.
func (r *Replica) merge(now time.Time, state *groupState, transferred TransferredClaim) {
	expires := now.Add(transferred.Remaining)
	known, exists := state.claims[transferred.Claim.Key]
	if !exists {
		r.insert(state, transferred.Claim, expires, transferred.Answer)
		state.claims[transferred.Claim.Key].otherRuns = transferred.OtherRuns
		return
	}
	known.addOtherRuns(transferred)
	if expires.After(known.expires) {
		known.expires = expires
		r.expiry.push(expiryItem{at: expires, key: transferred.Claim.Key})
	}
	if known.claim.Run == transferred.Claim.Run {
		r.setAnswer(known, transferred.Answer)
	}
}

// addOtherRuns records the runs of a transferred claim that differ from h's own.
func (h *heldClaim) addOtherRuns(transferred TransferredClaim) {
	for _, run := range append([]string{transferred.Claim.Run}, transferred.OtherRuns...) {
		if run != h.claim.Run && !slices.Contains(h.otherRuns, run) {
			h.otherRuns = append(h.otherRuns, run)
		}
	}
}

// ExpireRetired deletes the claims of groups that this process left at least the retention
// time ago.
func (r *Replica) ExpireRetired(now time.Time) {
	for i := range r.groups {
		state := &r.groups[i]
		departed := !containsProcess(state.group.Replicas, r.config.Self.ID) && state.transferredFrom == ""
		if !departed || len(state.claims) == 0 || now.Sub(state.retiredAt) < r.config.Retention {
			continue
		}
		for key, known := range state.claims {
			r.remove(state, key, known)
		}
	}
}
