package instance

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

const second = time.Second

// step is a heartbeat or another event at a time after the start.
type step struct {
	at       time.Duration
	id       string
	sequence uint64
	draining bool
	// Call Leave instead of Observe.
	goodbye bool
	// Call ObserveReplacement instead of Observe: this incarnation answered a request for id.
	found string
}

func applySteps(tracker *Tracker, steps []step) {
	for _, s := range steps {
		now := start.Add(s.at)
		switch {
		case s.goodbye:
			tracker.Leave(now, s.id)
		case s.found != "":
			tracker.ObserveReplacement(s.id, s.found)
		default:
			_ = tracker.Observe(now, Report{ID: s.id, Service: "s", Slots: 4, Sequence: s.sequence, Draining: s.draining})
		}
	}
}

func TestTracker(t *testing.T) {
	cases := []struct {
		name  string
		steps []step
		at    time.Duration
		id    string
		open  bool
	}{
		{"no heartbeat", nil, 0, "", false},
		{"ready", []step{{id: "a", sequence: 1}}, second, "a", true},
		{"draining, before CloseAfter", []step{{id: "a", sequence: 1}, {id: "a", sequence: 2, draining: true}}, second / 2, "a", true},
		{"draining, after CloseAfter", []step{{id: "a", sequence: 1}, {id: "a", sequence: 2, draining: true}}, second, "a", false},
		{"repeated draining does not extend the time",
			[]step{{id: "a", sequence: 1, draining: true}, {at: second, id: "a", sequence: 2, draining: true}}, second, "a", false},
		{"late heartbeat does not reopen",
			[]step{{id: "a", sequence: 3, draining: true}, {id: "a", sequence: 2}}, second, "a", false},
		{"later heartbeat does not reopen", []step{{id: "a", sequence: 3, draining: true}, {id: "a", sequence: 4}}, second, "a", false},
		{"goodbye", []step{{id: "a", sequence: 1}, {id: "a", goodbye: true}}, second, "a", false},
		{"goodbye of an earlier incarnation", []step{{id: "a", sequence: 1}, {id: "b", sequence: 1}, {id: "a", goodbye: true}}, second, "b", true},
		{"new incarnation after a draining one", []step{{id: "a", sequence: 9, draining: true}, {id: "b", sequence: 1}}, second, "b", true},
		{"late heartbeat of an earlier incarnation",
			[]step{{id: "a", sequence: 9}, {id: "b", sequence: 1}, {id: "a", sequence: 9}}, second, "b", true},
		{"another incarnation answered", []step{{id: "a", sequence: 9}, {id: "a", found: "b"}}, second, "", false},
		{"another incarnation answered and sent a heartbeat", []step{{id: "a", sequence: 9}, {id: "a", found: "b"}, {id: "b", sequence: 1}}, second, "b", true},
		{"late answer for an earlier incarnation", []step{{id: "a", sequence: 9}, {id: "b", sequence: 1}, {id: "a", found: "c"}}, second, "b", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			tracker := NewTracker(Config{Service: "s"})
			applySteps(tracker, c.steps)
			state := tracker.State()
			is.Equal(state.ID, c.id)
			is.Equal(state.Open(start.Add(c.at)), c.open)
		})
	}
}

func TestOtherBackEndsAreRejected(t *testing.T) {
	cases := []struct {
		name   string
		report Report
	}{
		{"no id", Report{Service: "s", Address: "h:1"}},
		{"another service", Report{ID: "a", Service: "t", Address: "h:1"}},
		{"another address", Report{ID: "a", Service: "s", Address: "h:2"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			tracker := NewTracker(Config{Service: "s", Address: "h:1"})
			is.True(tracker.Observe(start, c.report) != nil)
			is.Equal(tracker.State().ID, "")
		})
	}
}
