package claims

import (
	"slices"
	"time"
)

// Transferred is one claim that is handed to another replica.
type Transferred struct {
	Claim  Claim         `json:"claim"`
	Others []string      `json:"others,omitempty"` // runs that may hold the key too
	Left   time.Duration `json:"left_ns"`          // of the retention time
	Answer *Answer       `json:"answer,omitempty"`
}

// Fetch asks for the claims of one group from a replica of the epoch before.
type Fetch struct {
	From  Process
	Group int
	Epoch uint64 // the new epoch
}

// Fetches returns what this process still has to collect.
func (r *Replica) Fetches() []Fetch {
	wanted := []Fetch{}
	for i := range r.groups {
		state := &r.groups[i]
		isReplica := has(state.group.Replicas, r.config.Self.ID)
		if state.votes == state.group.Epoch || state.gaveVoteAt == state.group.Epoch || !isReplica {
			continue
		}
		for _, source := range state.group.Previous {
			if !state.sources[source.ID] {
				wanted = append(wanted, Fetch{From: source, Group: i, Epoch: state.group.Epoch})
			}
		}
	}
	return wanted
}

// HandOver returns the claims of a group for a replica of the new epoch. It
// reports false when this process does not know that epoch, or did not vote at
// the epoch before. Knowing the new epoch, it is fenced.
func (r *Replica) HandOver(now time.Time, group int, epoch uint64) ([]Transferred, bool) {
	if group >= len(r.groups) {
		return nil, false
	}
	state := &r.groups[group]
	if state.group.Epoch < epoch || state.voted < epoch-1 {
		return nil, false
	}
	handed := make([]Transferred, 0, len(state.claims))
	for _, known := range state.claims {
		left := known.expires.Sub(now)
		if left > 0 {
			handed = append(handed, Transferred{Claim: known.claim, Others: known.others, Left: left, Answer: known.answer})
		}
	}
	return handed, true
}

// TakeOver stores claims that were handed over and reports whether this process
// now votes in the group.
func (r *Replica) TakeOver(now time.Time, fetch Fetch, handed []Transferred) bool {
	if fetch.Group >= len(r.groups) {
		return false
	}
	state := &r.groups[fetch.Group]
	if state.group.Epoch != fetch.Epoch || state.votes == fetch.Epoch {
		return false
	}
	for _, transferred := range handed {
		r.takeOverOne(now, state, transferred)
	}
	state.sources[fetch.From.ID] = true
	r.activate(now, state)
	return state.votes == state.group.Epoch
}

// takeOverOne stores one claim. When the key is held here under another run, one
// of the two may have won it, and it is not known which: both block the key.
func (r *Replica) takeOverOne(now time.Time, state *groupState, transferred Transferred) {
	expires := now.Add(transferred.Left)
	known, exists := state.claims[transferred.Claim.Key]
	if !exists {
		r.insert(state, transferred.Claim, expires, transferred.Answer)
		state.claims[transferred.Claim.Key].others = transferred.Others
		return
	}
	known.addOthers(transferred)
	if expires.After(known.expires) {
		known.expires = expires
		r.expiry.push(expiryItem{at: expires, key: transferred.Claim.Key})
	}
	if known.claim.Run == transferred.Claim.Run {
		r.setAnswer(known, transferred.Answer)
	}
}

// addOthers remembers the runs of another replica that are not the own one.
func (h *held) addOthers(transferred Transferred) {
	for _, run := range append([]string{transferred.Claim.Run}, transferred.Others...) {
		if run != h.claim.Run && !slices.Contains(h.others, run) {
			h.others = append(h.others, run)
		}
	}
}

// Forget drops the claims of groups that this process left longer ago than the
// retention time.
func (r *Replica) Forget(now time.Time) {
	for i := range r.groups {
		state := &r.groups[i]
		left := !has(state.group.Replicas, r.config.Self.ID) && state.votesFor == ""
		if !left || len(state.claims) == 0 || now.Sub(state.retired) < r.config.Retention {
			continue
		}
		for key, known := range state.claims {
			r.remove(state, key, known)
		}
	}
}
