// Package instance tracks the state that the back end beside a node reports: which
// incarnation is running, how many requests it runs at a time, and whether it is leaving. It
// decides whether the node may send requests to the back end.
//
// The package holds that state in memory; it does no I/O and reads no clock. The back end
// reports it in heartbeats, which may arrive late and out of order. Each start of a back end is
// a new incarnation. It may have the id of an earlier one; then the time of its start tells them
// apart. Package platform decodes the heartbeats and plugin/instance passes them on.
//
// Declared is what a back end declares about itself in its answers. Memory holds what other
// processes have been told of it.
package instance

import (
	"strconv"
	"time"
)

// Report is one heartbeat of a back end.
type Report struct {
	// ID identifies the back end. A back end that starts again may keep it.
	ID string
	// Born is when the incarnation started, in Unix milliseconds by the back end's clock, 0 if
	// not reported.
	Born int64
	// Service is the service that the back end runs.
	Service string
	// Address is where the back end accepts requests, host:port.
	Address string
	// Slots is the number of requests that the back end runs at a time, 0 if not reported.
	Slots int
	// Draining is whether the back end is about to leave.
	Draining bool
	// Sequence increases with each heartbeat of an incarnation.
	Sequence uint64
	// ArrivedAt is the time of day at which the node got the heartbeat, in Unix milliseconds. The
	// back end is on the same machine, so that Born is of the same clock.
	ArrivedAt int64
}

// LeavingAnswer is an answer with which the back end declared that it is leaving.
type LeavingAnswer struct {
	// SentAt is when its request was sent.
	SentAt time.Time
	// SentDay is the time of day at SentAt, in Unix milliseconds.
	SentDay int64
}

// State is what the node knows of the back end. A returned State does not change.
type State struct {
	// ID identifies the back end, "" if none is known.
	ID string
	// Born is when the incarnation started, in Unix milliseconds by the back end's clock, 0 if
	// unknown.
	Born int64
	// Slots is the number of requests that the back end runs at a time, 0 if unknown.
	Slots int
	// Leaving is whether the back end is draining or has announced its stop.
	Leaving bool
	// ClosesAt is the time from which no more requests may be sent to the back end, zero
	// unless it is leaving.
	ClosesAt time.Time
}

// Incarnation identifies the incarnation among all that run one after another beside a node, ""
// if none is known.
func (s State) Incarnation() string {
	if s.Born == 0 {
		return s.ID
	}
	return s.ID + "@" + strconv.FormatInt(s.Born, 10)
}

// Open reports whether requests may be sent to the back end.
func (s State) Open(now time.Time) bool {
	if s.ID == "" {
		return false
	}
	return !s.Leaving || now.Before(s.ClosesAt)
}

// WithLeaving returns the state with an incarnation leaving, which takes no more requests from
// closesAt on. It returns the state unchanged if another incarnation is running, or if this one is
// leaving already.
func (s State) WithLeaving(incarnation string, closesAt time.Time) State {
	if s.Leaving || s.Incarnation() != incarnation {
		return s
	}
	s.Leaving, s.ClosesAt = true, closesAt
	return s
}
