package instance

import (
	"slices"
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
	// Recalls is set if the caller calls Recalled when it knows which starts had left before. Until
	// then no back end is open.
	Recalls bool
}

const defaultCloseAfter = time.Second

// silentAfter is the time without a heartbeat after which an incarnation with the same id replaces
// the current one even if it seems to have started earlier: its clock was set back. It spans
// several heartbeats. A leaving back end may send none any more, so that its silence shows nothing
// before latestHeartbeat.
const silentAfter = 5 * time.Second

// Tracker tracks the back end of one node. It is not safe for concurrent use.
//
// What it has taken note of without an error may be acknowledged to the back end. An incarnation that
// has announced that it leaves never takes requests again, whatever arrives later.
type Tracker struct {
	config   Config
	state    State
	sequence uint64
	// Time of the last heartbeat of the current incarnation.
	heardAt time.Time
	former  formerIncarnations
	// Last answer with which a back end declared that it is leaving.
	leavingAnswer LeavingAnswer
	// Last starts that were found to be leaving, the latest one at the end.
	left []Start
	// Whether the starts that had left before are known.
	recalled bool
}

// MaximumLeft is the maximum number of starts that Tracker.Left returns. At most one runs at a time;
// messages of others may be late.
const MaximumLeft = 4

// NewTracker returns a Tracker that does not know a back end yet.
func NewTracker(config Config) *Tracker {
	if config.CloseAfter == 0 {
		config.CloseAfter = defaultCloseAfter
	}
	return &Tracker{config: config, recalled: !config.Recalls}
}

// State returns the current state of the back end.
func (t *Tracker) State() State {
	state := t.state
	state.Unconfirmed = !t.recalled
	return state
}

// Recalled records that the starts that had left before are known: each was passed to RecallLeft.
func (t *Tracker) Recalled() { t.recalled = true }

// Observe processes a heartbeat. It returns a result.BadRequest error if the heartbeat is not
// from the node's back end, or announces the end of another start than the running one; such a
// heartbeat must not be acknowledged.
func (t *Tracker) Observe(now time.Time, report Report) error {
	if err := t.check(report); err != nil {
		return err
	}
	switch {
	case t.isCurrent(report):
		t.update(now, report)
		return nil
	case t.former.covers(now, report, report.ID == t.state.ID):
		if report.Draining {
			t.former.addLeft(now, report.ID, report.Born)
			t.recordLeft(report.ID, report.Born)
		}
		return nil // arrived late
	case t.startedEarlier(now, report):
		if report.Draining {
			return t.checkEnded(report.ID, report.Born)
		}
		return nil
	default:
		t.begin(now, report)
		return nil
	}
}

// check returns an error for a heartbeat that is not from the back end of this node.
func (t *Tracker) check(report Report) error {
	switch {
	case report.ID == "":
		return result.New(result.BadRequest, "the heartbeat names no instance")
	case report.Service != t.config.Service:
		return result.New(result.BadRequest, "the heartbeat is of service %q, this node serves %q", report.Service, t.config.Service)
	case t.config.Address != "" && report.Address != t.config.Address:
		return result.New(result.BadRequest, "the heartbeat is of %q, the back end of this node is at %q", report.Address, t.config.Address)
	default:
		return nil
	}
}

// update processes a heartbeat of the current incarnation. One that arrives after a newer one still
// counts if it says that the back end is draining.
func (t *Tracker) update(now time.Time, report Report) {
	if report.Draining {
		t.leave(now.Add(t.config.CloseAfter))
	}
	if report.Sequence < t.sequence {
		return
	}
	t.heardAt = now
	t.sequence = report.Sequence
	t.state.Born = max(t.state.Born, report.Born)
	t.state.Slots = report.Slots
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

// startedEarlier reports whether a heartbeat is of a start of the current back end before the running
// one, by its clock.
func (t *Tracker) startedEarlier(now time.Time, report Report) bool {
	silence := silentAfter
	if t.state.Leaving {
		silence = latestHeartbeat
	}
	return report.ID == t.state.ID && report.Born < t.state.Born && now.Sub(t.heardAt) < silence
}

// begin switches to a new incarnation. If its first heartbeat says that it is draining, an earlier one
// may have said so long ago, perhaps to the process that ran here before, and no time is left for
// requests. The same holds if it has declared that in an answer already.
func (t *Tracker) begin(now time.Time, report Report) {
	declared := report.ID == t.state.ID && t.state.Leaving && t.hasAnswered(now, report)
	t.retire(now)
	t.state = State{ID: report.ID, Born: report.Born}
	t.sequence = 0
	if report.Draining || declared {
		t.leave(now)
	}
	t.update(now, report)
}

// hasAnswered reports whether the start of a heartbeat ran already when the request was sent whose answer
// declared leaving. That answer is then its own, since the start before had ended. If the time of day was
// set back between both, it is not taken to be.
func (t *Tracker) hasAnswered(now time.Time, report Report) bool {
	elapsed := now.Sub(t.leavingAnswer.SentAt).Milliseconds()
	return report.Born <= min(t.leavingAnswer.SentDay, report.ArrivedAt-elapsed)
}

// retire ends the current incarnation. None is known then.
func (t *Tracker) retire(now time.Time) {
	if t.state.ID != "" {
		t.former.add(now, t.state.ID, formerIncarnation{born: t.state.Born, sequence: t.sequence, left: t.state.Leaving})
	}
	t.state = State{}
	t.sequence = 0
}

// Left returns the last starts that have announced that they leave, the latest one at the end. The running
// one is always the latest.
func (t *Tracker) Left() []Start { return t.left }

// recordLeft records a start in left.
func (t *Tracker) recordLeft(id string, born int64) {
	recorded := Start{ID: id, Born: born}
	others := slices.DeleteFunc(slices.Clone(t.left), func(known Start) bool { return known == recorded })
	if t.state.Leaving && len(others) > 0 && others[len(others)-1] == t.state.start() {
		t.left = slices.Insert(others, len(others)-1, recorded)
	} else {
		t.left = append(others, recorded)
	}
	t.left = t.left[max(len(t.left)-MaximumLeft, 0):]
}

// Leave processes the announcement of an incarnation that it is about to stop. It may keep
// serving requests for a while. born is 0 if the announcement doesn't tell it. The incarnation may be
// unknown, since its heartbeats may arrive later. Leave returns a result.BadRequest error if another
// start of the same back end seems to be running; such an announcement must not be acknowledged.
func (t *Tracker) Leave(now time.Time, id string, born int64) error {
	return t.leaveStart(now, now.Add(t.config.CloseAfter), id, born)
}

// RecallLeft processes the information that a start had announced its stop to the process that ran
// here before. It is not known when that was, perhaps long ago, so that no time is left for requests, and
// that one without a time of start says nothing of starts that have one. It reports whether that changes
// anything.
func (t *Tracker) RecallLeft(now time.Time, id string, born int64) bool {
	switch {
	case t.state.ID == id && t.state.Born == born:
		wasOpen := t.state.Open(now)
		t.leave(now)
		return wasOpen
	case t.former.hasLeft(id, born):
		return false
	case born == 0 && (t.state.ID == id || t.former.knows(id)):
		return false
	case born == 0:
		t.former.add(now, id, formerIncarnation{left: true})
		t.recordLeft(id, born)
		return true
	default:
		return t.leaveStart(now, now, id, born) == nil
	}
}

// leaveStart processes that a start leaves and takes no more requests from closesAt on.
func (t *Tracker) leaveStart(now, closesAt time.Time, id string, born int64) error {
	switch {
	case id != t.state.ID:
		t.former.addLeft(now, id, born)
	case born == 0 || born == t.state.Born:
		t.leave(closesAt)
		return nil
	case t.state.Born == 0:
		t.leave(closesAt)
		t.former.addLeft(now, id, born)
	case born > t.state.Born:
		t.retire(now)
		t.former.addLeft(now, id, born)
	default:
		return t.checkEnded(id, born)
	}
	t.recordLeft(id, born)
	return nil
}

// checkEnded returns an error unless a start of a back end is known to have ended. A start before the
// running one may also be the one that runs, if the clock was set back.
func (t *Tracker) checkEnded(id string, born int64) error {
	if t.former.hasEnded(id, born) {
		return nil
	}
	return result.New(result.BadRequest, "the back end %q started at %d seems to run, not the one started at %d", id, t.state.Born, born)
}

// ObserveLeavingAnswer processes an answer with which the running incarnation declared that it is
// leaving.
func (t *Tracker) ObserveLeavingAnswer(answer LeavingAnswer) { t.leavingAnswer = answer }

// ObserveLeaving processes the information that an incarnation is leaving and takes no more requests from
// closesAt on, or from an earlier time that is known. It reports whether it was not known to be leaving.
func (t *Tracker) ObserveLeaving(incarnation string, closesAt time.Time) bool {
	before := t.state
	t.state = before.WithLeaving(incarnation, closesAt)
	if !t.state.Leaving || before.Leaving {
		return false
	}
	t.recordLeft(t.state.ID, t.state.Born)
	return true
}

// leave marks the back end as leaving. Leaving is final, so that an acknowledged announcement
// stays valid.
func (t *Tracker) leave(closesAt time.Time) { t.ObserveLeaving(t.state.Incarnation(), closesAt) }

// ObserveReplacement processes the id of another back end, actual, which refused a request sent
// to the incarnation expected. The state of the new incarnation is unknown until its next
// heartbeat.
func (t *Tracker) ObserveReplacement(now time.Time, expected, actual string) {
	if expected != t.state.Incarnation() || actual == t.state.ID || actual == "" {
		return
	}
	t.retire(now)
	t.former.removeRunning(actual)
}
