// Package instance keeps what the back end beside a node says of itself: which
// incarnation is running, how many requests it works on at a time, and whether
// it is leaving. It decides whether the node may hand requests to the back end.
//
// The package owns that state in memory; it does no I/O and has no clock. The back end
// reports by heartbeats, which may come late and out of order; each start of a back end is a
// new incarnation with a new id. Package platform decodes the heartbeats, plugin/instance
// passes them on.
package instance

import (
	"time"

	"github.com/loomcleat/loomcleat/result"
)

// Report is one heartbeat of a back end.
type Report struct {
	// ID names the incarnation.
	ID string
	// Service is the service that the back end runs.
	Service string
	// Address is where it takes requests, host:port.
	Address string
	// Slots is the number of requests that it works on at a time, 0 when it
	// does not say.
	Slots int
	// Draining says that it is going to leave.
	Draining bool
	// Sequence rises with each heartbeat of an incarnation.
	Sequence uint64
}

// State is what is known of the back end. It does not change once returned.
type State struct {
	// ID names the incarnation, "" when none is known.
	ID string
	// Slots is the number of requests that it works on at a time, 0: unknown.
	Slots int
	// Leaving says that it is draining or has said goodbye.
	Leaving bool
	// ClosesAt is when no more requests may be handed to it, zero while it is
	// not leaving.
	ClosesAt time.Time
}

// Open reports whether requests may be handed to the back end.
func (s State) Open(now time.Time) bool {
	if s.ID == "" {
		return false
	}
	return !s.Leaving || now.Before(s.ClosesAt)
}

// Config configures a Tracker.
type Config struct {
	// Service is the service of the back end. Reports of another one are
	// refused. Required.
	Service string
	// Address is where the back end takes requests, host:port. Reports with
	// another address are refused. Empty: any.
	Address string
	// CloseAfter is how long a leaving back end is still handed requests, so
	// that callers that have not heard of it lose nothing. Longer loses fewer
	// offers, but what was promised to the back end bounds it. Default 1s.
	CloseAfter time.Duration
}

const defaultCloseAfter = time.Second

// Tracker follows the back end of one node. It is not safe for concurrent use.
type Tracker struct {
	config   Config
	state    State
	sequence uint64
	former   map[string]uint64 // highest sequence of earlier incarnations, by id
}

// maximumFormer bounds the earlier incarnations that are remembered.
const maximumFormer = 64

// NewTracker returns a Tracker that knows of no back end.
func NewTracker(config Config) *Tracker {
	if config.CloseAfter == 0 {
		config.CloseAfter = defaultCloseAfter
	}
	return &Tracker{config: config, former: map[string]uint64{}}
}

// State returns what is known now.
func (t *Tracker) State() State { return t.state }

// Observe takes a heartbeat. It returns a result.BadRequest error for one that
// is not of the node's back end; that one must not be acknowledged.
func (t *Tracker) Observe(now time.Time, report Report) error {
	switch {
	case report.ID == "":
		return result.New(result.BadRequest, "the heartbeat names no instance")
	case report.Service != t.config.Service:
		return result.New(result.BadRequest, "the heartbeat is of service %q, this node serves %q", report.Service, t.config.Service)
	case t.config.Address != "" && report.Address != t.config.Address:
		return result.New(result.BadRequest, "the heartbeat is of %q, the back end of this node is at %q", report.Address, t.config.Address)
	}
	if report.ID != t.state.ID && !t.begin(report) {
		return nil
	}
	if report.Sequence < t.sequence {
		return nil // a late one; what came after it counts
	}
	t.sequence = report.Sequence
	t.state.Slots = report.Slots
	if report.Draining {
		t.leave(now)
	}
	return nil
}

// begin takes up a new incarnation. It reports false for a late heartbeat of an
// earlier one.
func (t *Tracker) begin(report Report) bool {
	if seen, exists := t.former[report.ID]; exists && report.Sequence <= seen {
		return false
	}
	t.retire()
	t.state = State{ID: report.ID}
	t.sequence = 0
	delete(t.former, report.ID)
	return true
}

// retire remembers the present incarnation as an earlier one.
func (t *Tracker) retire() {
	if t.state.ID == "" {
		return
	}
	if len(t.former) >= maximumFormer {
		clear(t.former)
	}
	t.former[t.state.ID] = t.sequence
}

// Leave takes the goodbye of an incarnation. It may serve on for a while.
func (t *Tracker) Leave(now time.Time, id string) {
	if id == t.state.ID {
		t.leave(now)
	}
}

// leave begins the closing. A back end that is leaving does not come back, so
// that what was acknowledged stays true.
func (t *Tracker) leave(now time.Time) {
	if t.state.Leaving {
		return
	}
	t.state.Leaving = true
	t.state.ClosesAt = now.Add(t.config.CloseAfter)
}

// Found takes the id that another incarnation gave when it refused a request
// that was meant for the one known here. The next heartbeat tells the rest.
func (t *Tracker) Found(expected, actual string) {
	if expected != t.state.ID || actual == t.state.ID || actual == "" {
		return
	}
	t.retire()
	delete(t.former, actual)
	t.state = State{}
	t.sequence = 0
}
