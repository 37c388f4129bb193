package instance

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// restartable is a tracker whose process ends and starts again, with the store that outlives it.
type restartable struct {
	tracker *Tracker
	stored  []Start
	// The store is away until then.
	awayUntil time.Duration
	// The process has read the store.
	hasRead bool
}

// restart ends the process and starts it again.
func (r *restartable) restart() {
	r.tracker, r.hasRead = NewTracker(Config{Service: "s", Recalls: true}), false
}

// syncStore reads and writes the store, unless it is away, as plug-in instance does. It reports whether the store
// has all that the tracker knows to have left.
func (r *restartable) syncStore(at time.Duration) bool {
	if at < r.awayUntil {
		return false
	}
	if !r.hasRead {
		for _, left := range r.stored {
			r.tracker.RecallLeft(start.Add(at), left.ID, left.Born)
		}
		r.tracker.Recalled()
		r.hasRead = true
	}
	others := slices.DeleteFunc(slices.Clone(r.stored), func(s Start) bool { return slices.Contains(r.tracker.Left(), s) })
	r.stored = append(others, r.tracker.Left()...)
	r.stored = r.stored[max(len(r.stored)-MaximumLeft, 0):]
	return true
}

// TestAcknowledgedLeavingOutlivesRestarts guards against requests to a back end whose leaving was acknowledged, in
// any order of late and lost messages, ends of the process, and times without the store.
func TestAcknowledgedLeavingOutlivesRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := drawHistory(t, false)
		r := &restartable{tracker: NewTracker(Config{Service: "s"}), hasRead: true}
		leftAt := map[*life]time.Duration{}
		next := 0
		end := h.lives[len(h.lives)-1].ended + maximumDelay + drainTime
		for at := time.Duration(0); at < end; at += 50 * time.Millisecond {
			switch rapid.IntRange(0, 60).Draw(t, "event") {
			case 0:
				r.restart()
			case 1:
				r.awayUntil = at + time.Duration(rapid.IntRange(0, 3000).Draw(t, "away"))*time.Millisecond
			}
			r.syncStore(at)
			for next < len(h.messages) && h.messages[next].arrivesAt <= at {
				m := h.messages[next]
				next++
				accepted := deliver(r.tracker, at, m) == nil
				if _, known := leftAt[m.from]; r.syncStore(at) && accepted && !known && (m.leave || m.draining) {
					leftAt[m.from] = at
				}
			}
			running, state := h.running(at), r.tracker.State()
			left, leaving := leftAt[running]
			if leaving && at >= left+drainTime && state.ID == running.id && state.Open(start.Add(at)) {
				t.Fatalf("%v: requests reach %s@%d, whose leaving was acknowledged at %v; in the store %+v", at, running.id, running.born, left, r.stored)
			}
		}
	})
}
