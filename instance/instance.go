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
	"strings"
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
	// Unconfirmed is whether the back end may be one that had left before the process started, whose
	// heartbeat is late.
	Unconfirmed bool
}

// Start is one start of a back end.
type Start struct {
	ID string
	// Born is when it started, in Unix milliseconds by its clock, 0 if unknown.
	Born int64
}

// Incarnation identifies the incarnation among all that run one after another beside a node, ""
// if none is known.
func (s State) Incarnation() string {
	if s.Born == 0 {
		return s.ID
	}
	return s.ID + "@" + strconv.FormatInt(s.Born, 10)
}

// ParseIncarnation returns the id and the time of start in the name of an incarnation, as of
// State.Incarnation.
func ParseIncarnation(name string) (id string, born int64) {
	at := strings.LastIndexByte(name, '@')
	if at < 0 {
		return name, 0
	}
	born, err := strconv.ParseInt(name[at+1:], 10, 64)
	if err != nil {
		return name, 0 // the sign is a part of the id
	}
	return name[:at], born
}

// start returns the start that the state is of.
func (s State) start() Start { return Start{ID: s.ID, Born: s.Born} }

// Open reports whether requests may be sent to the back end.
func (s State) Open(now time.Time) bool {
	if s.ID == "" || s.Unconfirmed {
		return false
	}
	return !s.Leaving || now.Before(s.ClosesAt)
}

// WithLeaving returns the state with an incarnation leaving, which takes no more requests from
// closesAt on. Of several times the earliest counts, in whichever order they become known. The state is
// unchanged if another incarnation is running.
func (s State) WithLeaving(incarnation string, closesAt time.Time) State {
	if s.Incarnation() != incarnation || s.Leaving && !closesAt.Before(s.ClosesAt) {
		return s
	}
	s.Leaving, s.ClosesAt = true, closesAt
	return s
}
