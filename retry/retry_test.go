package retry

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/result"
)

// situationAfter returns the situation of a call with upstream work and a shared budget
// after its first attempt ended with code.
func situationAfter(code result.Code) Situation {
	return Situation{
		Err: result.New(code, "test"), Repeatable: true, HasUpstreamWork: true, Sendable: true,
		Left: time.Minute, SharedBudget: true, Offers: 1, Unavailable: code.Conclusion().Unavailable,
	}
}

// TestDecide varies one or a few inputs per case.
func TestDecide(t *testing.T) {
	var (
		final       = Decision{}
		free        = Decision{Send: true}
		paid        = Decision{Send: true, Paid: true}
		arrivedPaid = Decision{Send: true, Paid: true, Arrived: true}
		pause       = Decision{Pause: true}
		freeOrPause = Decision{Send: true, Pause: true}
	)
	cases := []struct {
		name   string
		code   result.Code
		change func(*Situation)
		want   Decision
	}{
		{"refused offer is free", result.Overloaded, func(*Situation) {}, free},
		{"last offer of a round", result.Overloaded, func(s *Situation) { s.Offers = MaximumOffers }, final},
		{"unavailable node", result.NodeRefused, func(*Situation) {}, freeOrPause},
		{"last offer after an unavailable node", result.NodeRefused, func(s *Situation) { s.Offers = MaximumOffers }, pause},
		{"no node known", result.NoNode, func(*Situation) {}, pause},
		{"no time for a pause", result.NoNode, func(s *Situation) { s.Left = UnavailablePause + MinimumTimeElsewhere }, final},
		{"no upstream work", result.NoNode, func(s *Situation) { s.HasUpstreamWork = false }, final},
		{"offer without shared budget is a retry", result.Overloaded, func(s *Situation) { s.SharedBudget = false }, paid},
		{"refused by the back end without shared budget", result.BackendRefused, func(s *Situation) { s.SharedBudget = false }, arrivedPaid},
		{"no pause without shared budget", result.NoNode, func(s *Situation) { s.SharedBudget = false }, final},
		{"refused upstream", result.ShedEarly, func(*Situation) {}, final},
		{"faster node may serve it", result.DeadlineTooShort, func(*Situation) {}, free},
		{"no time left for a faster node", result.DeadlineTooShort, func(s *Situation) { s.Left = MinimumTimeElsewhere }, final},
		{"refused by the back end", result.BackendRefused, func(*Situation) {}, arrivedPaid},
		{"refused by the back end after an unavailable node", result.BackendRefused, func(s *Situation) { s.Unavailable = true }, arrivedPaid},
		{"refused by the back end at the last offer after an unavailable node", result.BackendRefused, func(s *Situation) { s.Unavailable, s.Offers = true, MaximumOffers }, final},
		{"no attempt of the route left", result.BackendRefused, func(s *Situation) { s.MaximumArrivals = 1 }, Decision{Arrived: true}},
		{"one attempt of the route left", result.BackendRefused, func(s *Situation) { s.MaximumArrivals, s.Arrivals = 3, 1 }, arrivedPaid},
		{"may have run, repeatable", result.ConnectionLost, func(*Situation) {}, arrivedPaid},
		{"may have run, not repeatable", result.ConnectionLost, func(s *Situation) { s.Repeatable = false }, final},
		{"may have run, claimed", result.ConnectionLost, func(s *Situation) { s.Repeatable, s.Claims = false, true }, arrivedPaid},
		{"refused after an attempt that may have run", result.Overloaded, func(s *Situation) { s.Err.Ran, s.Repeatable = true, false }, final},
		{"unavailable after an attempt that may have run", result.NodeRefused, func(s *Situation) { s.Err.Ran, s.Repeatable = true, false }, final},
		{"caller is gone or body cannot be sent again", result.Overloaded, func(s *Situation) { s.Sendable = false }, final},
		{"back end answers as overloaded", 0, func(s *Situation) { s.Err, s.Status = nil, http.StatusServiceUnavailable }, arrivedPaid},
		{"back end answers as overloaded, claimed", 0, func(s *Situation) {
			s.Err, s.Status, s.Repeatable, s.Claims = nil, http.StatusServiceUnavailable, false, true
		}, final},
		{"back end answers with a failure", 0, func(s *Situation) { s.Err, s.Status = nil, http.StatusInternalServerError }, final},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			situation := situationAfter(c.code)
			c.change(&situation)
			is.Equal(Decide(situation), c.want)
		})
	}
}
