// Package retry decides when a call is sent again. Timeout returns how long an attempt may
// wait for its answer. Decide returns what follows an attempt: the call is sent to another
// node at once, sent again after a pause, or not sent again.
//
// Each attempt offers the call to one node. An attempt arrives if a back end may have
// received the call. Attempts without a pause between them form a round.
//
// The package owns these rules with their durations and bounds. It relies on the conclusions that
// package result attaches to result codes (result.Conclusion). Package retrybudget counts
// the remaining retries. The plug-ins routing and retry collect the input, query the
// budgets and carry out the decisions. The package does no I/O, reads no clock and keeps
// no state.
package retry

import (
	"net/http"
	"time"

	"github.com/loomcleat/loomcleat/result"
)

const (
	// MaximumOffers bounds the nodes that a call is offered to in one round when refused
	// offers are free, so that a call to an overloaded service does not try every node.
	MaximumOffers = 3
	// UnavailablePause is the time between two rounds of offers of a call while nodes are
	// unavailable, for example while they restart. A restarted node is back within a second, and
	// gossip tells of it within some hundred milliseconds.
	UnavailablePause = 50 * time.Millisecond
	// MinimumTimeElsewhere is the time until the deadline that must be left to try another
	// node after one whose back end was too slow for the time left. Calls of a few hops
	// spend some milliseconds in transit alone.
	MinimumTimeElsewhere = 20 * time.Millisecond
)

// Situation is the input of Decide: the state of a call when an attempt has ended.
type Situation struct {
	// Status is the HTTP status of the back end's answer, 0 if Err is set.
	Status int
	// Err is the result of an attempt without an answer, nil if there was an answer.
	Err *result.Error

	// Repeatable reports that the request may run twice.
	Repeatable bool
	// Claims reports that a request which must not run twice is claimed by its key, so that
	// another attempt gets the answer of the first one.
	Claims bool
	// HasUpstreamWork reports that the call has upstream work: other services have already
	// done work for the user request, which is wasted if the call fails.
	HasUpstreamWork bool
	// Sendable reports that the body can be sent again and the caller is still waiting.
	Sendable bool
	// Left is the time until the deadline of the call.
	Left time.Duration

	// SharedBudget reports that one retry budget bounds the retries of all processes to
	// the back ends of a service. Only attempts that may have arrived at a back end count
	// against it. Without it, the retries of a user request are bounded over its whole call
	// graph, and each attempt after the first counts.
	SharedBudget bool
	// Offers is the number of attempts in this round, including the one that ended.
	Offers int
	// Unavailable reports that a node was unavailable in this round, in this attempt or an
	// earlier one.
	Unavailable bool
	// Arrivals is the number of earlier attempts that may have arrived at a back end.
	Arrivals int
	// MaximumArrivals is the maximum number of attempts of this call that may arrive at a
	// back end, 0 for no maximum.
	MaximumArrivals int
}

// Decision is the result of Decide.
type Decision struct {
	// Send reports that the call goes to another node at once. If Paid is set, this takes a
	// retry from the budgets, and the call is not sent if none is left.
	Send bool
	Paid bool
	// Arrived reports that the attempt may have arrived at a back end. It is false if the call
	// can't be sent again.
	Arrived bool
	// Pause reports that a call which is not sent at once begins a new round of offers
	// after UnavailablePause.
	Pause bool
}

// Decide returns what follows the end of an attempt.
func Decide(s Situation) Decision {
	decision := Decision{Pause: mayPause(s)}
	if !maySend(s) {
		return decision
	}
	if !s.SharedBudget {
		decision.Send, decision.Paid, decision.Arrived = true, true, arrived(s)
		return decision
	}
	if s.Offers >= MaximumOffers {
		return decision
	}
	decision.Arrived = arrived(s)
	if !decision.Arrived {
		decision.Send = true
		return decision
	}
	decision.Send = s.MaximumArrivals == 0 || s.Arrivals+1 < s.MaximumArrivals
	decision.Paid = decision.Send
	return decision
}

// maySend reports whether another attempt is safe and may end better.
//
// A request that must not run twice is sent again only if its attempt did not run or, with
// claims, if the attempt ended without an answer. An answer of the back end is final for
// such a request.
func maySend(s Situation) bool {
	if !s.Sendable {
		return false
	}
	switch next(s) {
	case result.OtherNode:
		return true
	case result.FasterNode:
		return s.Left > MinimumTimeElsewhere
	case result.MayHaveRun:
		return s.Repeatable || (s.Claims && s.Err != nil)
	default:
		return false
	}
}

// next returns the expected result of another attempt.
func next(s Situation) result.Next {
	if s.Err == nil {
		return nextAfterStatus(s.Status)
	}
	expected := s.Err.Code.Conclusion().Next
	if s.Err.NotRun() || expected == result.MayHaveRun {
		return expected
	}
	// The request may have run at a node that was tried before the one that refused.
	if expected == result.OtherNode {
		return result.MayHaveRun
	}
	return result.SameResult
}

// nextAfterStatus returns the expected result of another attempt after an answer of the
// back end. The statuses 502, 503 and 504 mean that the back end, or another one behind it,
// was overloaded or unreachable.
func nextAfterStatus(status int) result.Next {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return result.MayHaveRun
	default:
		return result.SameResult
	}
}

// arrived reports whether an attempt that may be followed by another one may have arrived
// at a back end.
func arrived(s Situation) bool {
	return next(s) == result.MayHaveRun || s.Err.Code.Conclusion().RefusedByBackEnd
}

// mayPause reports whether a call that no node accepted may be offered again after a pause:
// a node was unavailable, the call has upstream work, enough time is left and the offer is free.
// A call that a back end refused has arrived there, so that sending it again takes a retry
// from the budgets.
func mayPause(s Situation) bool {
	notTaken := s.Err != nil && s.Err.NotRun() && !s.Err.Code.Conclusion().RefusedByBackEnd
	return notTaken && s.Unavailable && s.SharedBudget && s.HasUpstreamWork && s.Sendable &&
		s.Left > UnavailablePause+MinimumTimeElsewhere
}
