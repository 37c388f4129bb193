package claims

import "time"

// Vote is the vote of one replica in its group at an epoch. A replica that stops while
// the store is down, when no new epoch can be written, transfers its vote to another
// process for the rest of the epoch.
//
// Majorities are counted in votes, not in processes. A vote has at most one holder at any
// time: the former holder ceases to vote before the transfer, and never again votes or
// hands over claims at this epoch.
type Vote struct {
	Group int    `json:"group"`
	Epoch uint64 `json:"epoch"`
	// Replica is the id of the replica in the Groups document.
	Replica string `json:"of"`
}

// voterID returns the id of the replica whose vote this process holds: its own, unless it
// took one over.
func (r *Replica) voterID(state *groupState) string {
	if state.transferredFrom != "" {
		return state.transferredFrom
	}
	return r.config.Self.ID
}

// HeldVotes returns the votes that this process holds: its own and those it took over.
func (r *Replica) HeldVotes() []Vote {
	votes := []Vote{}
	for i := range r.groups {
		if r.IsVoter(i) {
			votes = append(votes, Vote{Group: i, Epoch: r.groups[i].group.Epoch, Replica: r.voterID(&r.groups[i])})
		}
	}
	return votes
}

// TakenVotes returns the votes that this process took over at the current epoch, and those
// of the previous epoch, whose claims other replicas may still have to collect from it.
func (r *Replica) TakenVotes() []Vote {
	votes := []Vote{}
	for i := range r.groups {
		taken := r.groups[i].lastTakenVote
		if taken.Replica != "" && r.groups[i].group.Epoch <= taken.Epoch+1 {
			votes = append(votes, taken)
		}
	}
	return votes
}

// ReleaseVote gives up a vote and returns the claims for the process that takes it over. It
// reports false when this process does not hold the vote. The caller must pass the result
// to a single successor.
func (r *Replica) ReleaseVote(now time.Time, vote Vote) ([]TransferredClaim, bool) {
	if vote.Group >= len(r.groups) {
		return nil, false
	}
	state := &r.groups[vote.Group]
	if !r.IsVoter(vote.Group) || state.group.Epoch != vote.Epoch || r.voterID(state) != vote.Replica {
		return nil, false
	}
	handedOver, _ := r.HandOver(now, vote.Group, vote.Epoch) // cannot fail: this process votes at the epoch
	state.votingEpoch, state.lastVotedEpoch, state.transferredFrom, state.lastTakenVote = 0, 0, "", Vote{}
	state.voteGivenEpoch = vote.Epoch
	state.retiredAt = now
	return handedOver, true
}

// AcceptVote takes over a vote with its claims and reports whether this process holds it now.
// A process that is itself a replica of the group, or holds another vote in it, refuses.
func (r *Replica) AcceptVote(now time.Time, vote Vote, handedOver []TransferredClaim) bool {
	if vote.Group >= len(r.groups) {
		return false
	}
	state := &r.groups[vote.Group]
	if state.group.Epoch != vote.Epoch || state.voteGivenEpoch == vote.Epoch || containsProcess(state.group.Replicas, r.config.Self.ID) {
		return false
	}
	if state.transferredFrom != "" || !containsProcess(state.group.Replicas, vote.Replica) {
		return state.transferredFrom == vote.Replica
	}
	for _, transferred := range handedOver {
		r.merge(now, state, transferred)
	}
	state.transferredFrom, state.lastTakenVote = vote.Replica, vote
	state.votingEpoch, state.lastVotedEpoch = vote.Epoch, vote.Epoch
	return true
}
