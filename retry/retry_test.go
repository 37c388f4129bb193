package retry

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/result"
)

// usual is a call of a committed request on a mesh with a shared budget, whose first
// attempt ended with code.
func usual(code result.Code) Situation {
	return Situation{
		Err: result.New(code, "test"), Repeatable: true, Committed: true, Sendable: true,
		Left: time.Minute, SharedBudget: true, Offers: 1, Absent: code.Conclusion().Absent,
	}
}

// TestDecide walks through the rules, one fact at a time.
func TestDecide(t *testing.T) {
	var (
		end    = Decision{}
		free   = Decision{Send: true}
		paid   = Decision{Send: true, Paid: true}
		landed = Decision{Send: true, Paid: true, Arrived: true}
		pause  = Decision{Pause: true}
		either = Decision{Send: true, Pause: true}
	)
	cases := []struct {
		name   string
		code   result.Code
		change func(*Situation)
		want   Decision
	}{
		{"a refused offer is free", result.Overloaded, func(*Situation) {}, free},
		{"the last offer of a round", result.Overloaded, func(s *Situation) { s.Offers = MaximumOffers }, end},
		{"an absent node", result.NodeRefused, func(*Situation) {}, either},
		{"the last offer after an absent node", result.NodeRefused, func(s *Situation) { s.Offers = MaximumOffers }, pause},
		{"no node is known", result.NoNode, func(*Situation) {}, pause},
		{"no time for a pause", result.NoNode, func(s *Situation) { s.Left = AbsencePause + LeastTimeElsewhere }, end},
		{"not committed", result.NoNode, func(s *Situation) { s.Committed = false }, end},
		{"an offer is a retry", result.Overloaded, func(s *Situation) { s.SharedBudget = false }, paid},
		{"no pause where offers are retries", result.NoNode, func(s *Situation) { s.SharedBudget = false }, end},
		{"refused further up the path", result.ShedEarly, func(*Situation) {}, end},
		{"a faster node may serve it", result.DeadlineTooShort, func(*Situation) {}, free},
		{"no time left is final", result.DeadlineTooShort, func(s *Situation) { s.Left = LeastTimeElsewhere }, end},
		{"refused by the back end", result.BackendRefused, func(*Situation) {}, landed},
		{"refused by the back end after an absent node", result.BackendRefused, func(s *Situation) { s.Absent = true }, landed},
		{"the same, at the last offer of a round", result.BackendRefused, func(s *Situation) { s.Absent, s.Offers = true, MaximumOffers }, end},
		{"attempts of the route are spent", result.BackendRefused, func(s *Situation) { s.MaximumArrivals = 1 }, Decision{Arrived: true}},
		{"one attempt of the route is left", result.BackendRefused, func(s *Situation) { s.MaximumArrivals, s.Arrivals = 3, 1 }, landed},
		{"it may have run, repeatable", result.ConnectionLost, func(*Situation) {}, landed},
		{"it may have run, not repeatable", result.ConnectionLost, func(s *Situation) { s.Repeatable = false }, end},
		{"it may have run, claimed", result.ConnectionLost, func(s *Situation) { s.Repeatable, s.Claims = false, true }, landed},
		{"refused after an attempt that may have run", result.Overloaded, func(s *Situation) { s.Err.Ran, s.Repeatable = true, false }, end},
		{"absent after an attempt that may have run", result.NodeRefused, func(s *Situation) { s.Err.Ran, s.Repeatable = true, false }, end},
		{"the caller is gone", result.Overloaded, func(s *Situation) { s.Sendable = false }, end},
		{"an overloaded back end answers", 0, func(s *Situation) { s.Err, s.Status = nil, http.StatusServiceUnavailable }, landed},
		{"the same, claimed", 0, func(s *Situation) {
			s.Err, s.Status, s.Repeatable, s.Claims = nil, http.StatusServiceUnavailable, false, true
		}, end},
		{"a failure of the back end", 0, func(s *Situation) { s.Err, s.Status = nil, http.StatusInternalServerError }, end},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			situation := usual(c.code)
			c.change(&situation)
			is.Equal(Decide(situation), c.want)
		})
	}
}
