package claims

import "time"

// Seat is the place of a replica in a group that another process has taken over
// for the rest of an epoch. A replica that stops in order while the store is
// down hands its place over, since no new epoch can be written then.
//
// Majorities are counted in places, not in processes. A place has one holder at
// any time: the former one ceases to vote before it hands over, and never votes
// or serves as a source of claims again at this epoch.
type Seat struct {
	Group int    `json:"group"`
	Epoch uint64 `json:"epoch"`
	Of    string `json:"of"` // id of the replica in the Groups document
}

// votesAs returns the id of the replica in whose place this process votes.
func (r *Replica) votesAs(state *groupState) string {
	if state.seat != "" {
		return state.seat
	}
	return r.config.Self.ID
}

// Places returns the places in which this process votes.
func (r *Replica) Places() []Seat {
	places := []Seat{}
	for i := range r.groups {
		if r.Votes(i) {
			places = append(places, Seat{Group: i, Epoch: r.groups[i].group.Epoch, Of: r.votesAs(&r.groups[i])})
		}
	}
	return places
}

// Seats returns the places of others that this process holds, and those that it
// held at the epoch before, whose claims are still to be collected here.
func (r *Replica) Seats() []Seat {
	seats := []Seat{}
	for i := range r.groups {
		taken := r.groups[i].taken
		if taken.Of != "" && r.groups[i].group.Epoch <= taken.Epoch+1 {
			seats = append(seats, taken)
		}
	}
	return seats
}

// GiveSeat ceases to vote in a place and returns its claims for the process
// that takes it over. It reports false when this process does not hold it. It
// must not be called for a second successor.
func (r *Replica) GiveSeat(now time.Time, seat Seat) ([]Transferred, bool) {
	if seat.Group >= len(r.groups) {
		return nil, false
	}
	state := &r.groups[seat.Group]
	if !r.Votes(seat.Group) || state.group.Epoch != seat.Epoch || r.votesAs(state) != seat.Of {
		return nil, false
	}
	handed, _ := r.HandOver(now, seat.Group, seat.Epoch)
	state.votes, state.voted, state.seat, state.taken = 0, 0, "", Seat{}
	state.moved = seat.Epoch
	state.retired = now
	return handed, true
}

// TakeSeat takes over a place with its claims and reports whether this process
// votes in it now. A process that is a replica of the group itself, or holds
// another place in it, refuses.
func (r *Replica) TakeSeat(now time.Time, seat Seat, handed []Transferred) bool {
	if seat.Group >= len(r.groups) {
		return false
	}
	state := &r.groups[seat.Group]
	if state.group.Epoch != seat.Epoch || state.moved == seat.Epoch || has(state.group.Replicas, r.config.Self.ID) {
		return false
	}
	if state.seat != "" || !has(state.group.Replicas, seat.Of) {
		return state.seat == seat.Of
	}
	for _, transferred := range handed {
		r.takeOverOne(now, state, transferred)
	}
	state.seat, state.taken = seat.Of, seat
	state.votes, state.voted = seat.Epoch, seat.Epoch
	return true
}
