// Package retry decides when a call is sent again: how long an attempt may go without an
// answer (Timeout), and what follows when it has ended (Decide): the call is sent to
// another node at once, again after a pause, or not at all.
//
// It owns these rules and the times and bounds in them. What a result code lets one
// conclude stands beside the codes (result.Conclusion), and how many retries there are is
// counted by package retrybudget. Plug-ins routing and retry gather the facts, ask the
// budgets and carry the decisions out. Nothing here does I/O, reads a clock or keeps state.
package retry

import (
	"net/http"
	"time"

	"github.com/loomcleat/loomcleat/result"
)

const (
	// MaximumOffers bounds the nodes that one call is offered to in a round where a
	// refused offer is free, so that a full service is not asked node by node.
	MaximumOffers = 3
	// AbsencePause is the time between two rounds of offers of a call while nodes are
	// not there. One that is started again is back within a second, and gossip tells of
	// it within some hundred milliseconds.
	AbsencePause = 50 * time.Millisecond
	// LeastTimeElsewhere is the time that must be left for another node to be tried
	// after one whose back end was too slow for the time left. Calls of a few hops need
	// some milliseconds on the way alone.
	LeastTimeElsewhere = 20 * time.Millisecond
)

// Situation is what is known when an attempt has ended.
type Situation struct {
	// Status is the HTTP status of the answer of the back end, 0 when Err is set.
	Status int
	// Err is how an attempt without an answer ended, nil when there is one.
	Err *result.Error

	// Repeatable says that the request may run twice.
	Repeatable bool
	// Claims says that a request which may not run twice is claimed by its key, so that
	// another attempt gets the answer of the first one.
	Claims bool
	// Committed says that other services have worked for the user request, so that their
	// work is lost with the call.
	Committed bool
	// Sendable says that the body can be sent again and the caller still waits.
	Sendable bool
	// Left is the time until the deadline of the call.
	Left time.Duration

	// SharedBudget says that one retry budget bounds what all processes send to the back
	// ends of a service. An offer that does not arrive at a back end is free then.
	// Otherwise the retries of a user request are bounded over its whole call graph, and
	// each attempt after the first is one.
	SharedBudget bool
	// Offers is the number of attempts of this round, with the one that ended.
	Offers int
	// Absent says that a node of this round was absent, in this attempt or an earlier one.
	Absent bool
	// Arrivals is the number of earlier attempts that may have arrived at a back end.
	Arrivals int
	// MaximumArrivals bounds them for this call, 0: it does not.
	MaximumArrivals int
}

// Decision is what follows the end of an attempt.
type Decision struct {
	// Send says that the call goes to another node at once, when Paid is false or the
	// budgets have a retry left.
	Send bool
	Paid bool
	// Arrived says that the attempt counts as one that arrived at a back end.
	Arrived bool
	// Pause says that a call which is not sent at once begins a new round of offers
	// after AbsencePause.
	Pause bool
}

// Decide returns what follows the end of an attempt.
func Decide(s Situation) Decision {
	decision := Decision{Pause: mayPause(s)}
	if !maySend(s) {
		return decision
	}
	if !s.SharedBudget {
		decision.Send, decision.Paid = true, true
		return decision
	}
	if s.Offers >= MaximumOffers {
		return decision
	}
	if !arrived(s) {
		decision.Send = true
		return decision
	}
	decision.Arrived = true
	decision.Send = s.MaximumArrivals == 0 || s.Arrivals+1 < s.MaximumArrivals
	decision.Paid = decision.Send
	return decision
}

// maySend reports whether another attempt is safe and may end better.
//
// A request that may not run twice is sent again only when its attempt did not run,
// or, with claims, when the error came from the way there. An answer of the back end
// itself is final for it.
func maySend(s Situation) bool {
	if !s.Sendable {
		return false
	}
	switch next(s) {
	case result.OtherNode:
		return true
	case result.FasterNode:
		return s.Left > LeastTimeElsewhere
	case result.Unclear:
		return s.Repeatable || (s.Claims && s.Err != nil)
	default:
		return false
	}
}

// next returns what to expect of another attempt.
func next(s Situation) result.Next {
	if s.Err == nil {
		return nextAfter(s.Status)
	}
	expected := s.Err.Code.Conclusion().Next
	if s.Err.NotRun() || expected == result.Unclear {
		return expected
	}
	// It may have run at a node that was tried before the one that refused.
	if expected == result.OtherNode {
		return result.Unclear
	}
	return result.Alike
}

// nextAfter returns what to expect after an answer of the back end. These statuses say
// that the back end, or one behind it, was overloaded or out of reach.
func nextAfter(status int) result.Next {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return result.Unclear
	default:
		return result.Alike
	}
}

// arrived reports whether an attempt that may be sent again may have arrived at a back end.
func arrived(s Situation) bool {
	return next(s) == result.Unclear || s.Err.Code.Conclusion().ByBackEnd
}

// mayPause reports whether a call that no node has taken may be offered once more after a
// pause: a node was absent, other services have worked for the user request, there is time,
// and the offer is free. A call that a back end refused has arrived there, so that it is
// sent again only when the budgets have a retry left.
func mayPause(s Situation) bool {
	notTaken := s.Err != nil && s.Err.NotRun() && !s.Err.Code.Conclusion().ByBackEnd
	return notTaken && s.Absent && s.SharedBudget && s.Committed && s.Sendable &&
		s.Left > AbsencePause+LeastTimeElsewhere
}
