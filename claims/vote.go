package claims

import "time"

// Vote is the vote of one replica in its group at an epoch. A replica that stops while
// the store is down, so that no new epoch can be written, transfers its vote to another
// process for the rest of the epoch.
//
// Majorities are counted in votes, not in processes. A vote has one holder at any time:
// the former one ceases to vote before it transfers, and never votes or serves as a
// source of claims again at this epoch.
type Vote struct {
	Group   int    `json:"group"`
	Epoch   uint64 `json:"epoch"`
	Replica string `json:"of"` // its id in the Groups document
}

// votesAs returns the id of the replica whose vote this process has.
func (r *Replica) votesAs(state *groupState) string {
	if state.votesFor != "" {
		return state.votesFor
	}
	return r.config.Self.ID
}

// HeldVotes returns the votes that this process has: its own and those of others.
func (r *Replica) HeldVotes() []Vote {
	votes := []Vote{}
	for i := range r.groups {
		if r.Votes(i) {
			votes = append(votes, Vote{Group: i, Epoch: r.groups[i].group.Epoch, Replica: r.votesAs(&r.groups[i])})
		}
	}
	return votes
}

// TakenVotes returns the votes of others that this process has, and those that it had at
// the epoch before, whose claims are still to be collected here.
func (r *Replica) TakenVotes() []Vote {
	votes := []Vote{}
	for i := range r.groups {
		taken := r.groups[i].takenVote
		if taken.Replica != "" && r.groups[i].group.Epoch <= taken.Epoch+1 {
			votes = append(votes, taken)
		}
	}
	return votes
}

// GiveVote ceases to vote and returns the claims for the process that takes the vote. It
// reports false when this process does not have it. It must not be called for a second
// successor.
func (r *Replica) GiveVote(now time.Time, vote Vote) ([]Transferred, bool) {
	if vote.Group >= len(r.groups) {
		return nil, false
	}
	state := &r.groups[vote.Group]
	if !r.Votes(vote.Group) || state.group.Epoch != vote.Epoch || r.votesAs(state) != vote.Replica {
		return nil, false
	}
	handed, _ := r.HandOver(now, vote.Group, vote.Epoch) // a voter of the epoch may hand over
	state.votes, state.voted, state.votesFor, state.takenVote = 0, 0, "", Vote{}
	state.gaveVoteAt = vote.Epoch
	state.retired = now
	return handed, true
}

// TakeVote takes a vote with its claims and reports whether this process has it now. A
// process that is a replica of the group itself, or has another vote in it, refuses.
func (r *Replica) TakeVote(now time.Time, vote Vote, handed []Transferred) bool {
	if vote.Group >= len(r.groups) {
		return false
	}
	state := &r.groups[vote.Group]
	if state.group.Epoch != vote.Epoch || state.gaveVoteAt == vote.Epoch || has(state.group.Replicas, r.config.Self.ID) {
		return false
	}
	if state.votesFor != "" || !has(state.group.Replicas, vote.Replica) {
		return state.votesFor == vote.Replica
	}
	for _, transferred := range handed {
		r.takeOverOne(now, state, transferred)
	}
	state.votesFor, state.takenVote = vote.Replica, vote
	state.votes, state.voted = vote.Epoch, vote.Epoch
	return true
}
