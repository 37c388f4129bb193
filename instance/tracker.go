package instance

import (
	"time"

	"github.com/loomcleat/loomcleat/result"
)

// Config configures a Tracker.
type Config struct {
	// Service is the service of the back end. Heartbeats of other services are rejected.
	// Required.
	Service string
	// Address is where the back end accepts requests, host:port. Heartbeats with another
	// address are rejected. If empty, any address is accepted.
	Address string
	// CloseAfter is how long requests are still sent to a leaving back end, so that callers
	// that do not know yet that it is leaving are served. With a longer time, fewer of their
	// requests are refused. The drain time agreed with the back end is its upper bound.
	// Default 1s.
	CloseAfter time.Duration
}

const defaultCloseAfter = time.Second

// silentAfter is the time without a heartbeat after which an incarnation with the same id replaces
// the current one even if it seems to have started earlier: its clock was set back. It spans
// several heartbeats.
const silentAfter = 5 * time.Second

// Tracker tracks the back end of one node. It is not safe for concurrent use.
type Tracker struct {
	config   Config
	state    State
	sequence uint64
	// Time of the last heartbeat of the current incarnation.
	heardAt time.Time
	// Last incarnation of each earlier back end, by id.
	previous map[string]earlier
}

// earlier is an incarnation that has ended.
type earlier struct {
	born int64
	// Highest sequence of its heartbeats.
	sequence uint64
}

// maximumPrevious is the maximum number of earlier incarnations that are remembered.
const maximumPrevious = 64

// NewTracker returns a Tracker that does not know a back end yet.
func NewTracker(config Config) *Tracker {
	if config.CloseAfter == 0 {
		config.CloseAfter = defaultCloseAfter
	}
	return &Tracker{config: config, previous: map[string]earlier{}}
}

// State returns the current state of the back end.
func (t *Tracker) State() State { return t.state }

// Observe processes a heartbeat. It returns a result.BadRequest error if the heartbeat is not
// from the node's back end; such a heartbeat must not be acknowledged.
func (t *Tracker) Observe(now time.Time, report Report) error {
	switch {
	case report.ID == "":
		return result.New(result.BadRequest, "the heartbeat names no instance")
	case report.Service != t.config.Service:
		return result.New(result.BadRequest, "the heartbeat is of service %q, this node serves %q", report.Service, t.config.Service)
	case t.config.Address != "" && report.Address != t.config.Address:
		return result.New(result.BadRequest, "the heartbeat is of %q, the back end of this node is at %q", report.Address, t.config.Address)
	}
	if !t.isCurrent(report) && !t.begin(now, report) {
		return nil
	}
	if report.Sequence < t.sequence {
		return nil // arrived late, after a newer heartbeat
	}
	t.heardAt = now
	t.sequence = report.Sequence
	t.state.Born = max(t.state.Born, report.Born)
	t.state.Slots = report.Slots
	if report.Draining {
		t.leave(now)
	}
	return nil
}

// isCurrent reports whether a heartbeat is of the current incarnation. One without a time of start,
// or after heartbeats without one, is taken to be of the current incarnation of its id, unless its
// sequence starts anew.
func (t *Tracker) isCurrent(report Report) bool {
	if report.ID != t.state.ID {
		return false
	}
	if t.state.Born == 0 && report.Born != 0 {
		return report.Sequence > t.sequence
	}
	return report.Born == 0 || report.Born == t.state.Born
}

// begin switches to a new incarnation. It returns false for a late heartbeat of an earlier
// incarnation.
func (t *Tracker) begin(now time.Time, report Report) bool {
	if t.isEarlier(now, report) {
		return false
	}
	t.retire()
	t.state = State{ID: report.ID, Born: report.Born}
	t.sequence = 0
	delete(t.previous, report.ID)
	return true
}

// isEarlier reports whether a heartbeat is a late one of an incarnation before the current one.
func (t *Tracker) isEarlier(now time.Time, report Report) bool {
	if report.ID == t.state.ID {
		return report.Born < t.state.Born && now.Sub(t.heardAt) < silentAfter
	}
	seen, exists := t.previous[report.ID]
	switch {
	case !exists:
		return false
	case report.Born == seen.born:
		return report.Sequence <= seen.sequence
	default:
		return report.Born < seen.born
	}
}

// retire records the current incarnation as an earlier one.
func (t *Tracker) retire() {
	if t.state.ID == "" {
		return
	}
	if len(t.previous) >= maximumPrevious {
		clear(t.previous)
	}
	t.previous[t.state.ID] = earlier{born: t.state.Born, sequence: t.sequence}
}

// Leave processes the announcement of an incarnation that it is about to stop. It may keep
// serving requests for a while. born is 0 if the announcement doesn't tell it.
func (t *Tracker) Leave(now time.Time, id string, born int64) {
	otherStart := born != 0 && t.state.Born != 0 && born != t.state.Born
	if id == t.state.ID && !otherStart {
		t.leave(now)
	}
}

// ObserveLeaving processes the information that an incarnation is leaving and takes no more requests from
// closesAt on. It reports whether that was not known.
func (t *Tracker) ObserveLeaving(incarnation string, closesAt time.Time) bool {
	before := t.state
	t.state = before.WithLeaving(incarnation, closesAt)
	return t.state.Leaving && !before.Leaving
}

// leave marks the back end as leaving. Leaving is final, so that an acknowledged announcement
// stays valid.
func (t *Tracker) leave(now time.Time) {
	t.ObserveLeaving(t.state.Incarnation(), now.Add(t.config.CloseAfter))
}

// ObserveReplacement processes the id of another back end, actual, which refused a request sent
// to the incarnation expected. The state of the new incarnation is unknown until its next
// heartbeat.
func (t *Tracker) ObserveReplacement(expected, actual string) {
	if expected != t.state.Incarnation() || actual == t.state.ID || actual == "" {
		return
	}
	t.retire()
	delete(t.previous, actual)
	t.state = State{}
	t.sequence = 0
}
