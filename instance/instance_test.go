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
	leave bool
	// Call ObserveReplacement instead of Observe: this incarnation refused a request sent to id.
	replacement string
}

func applySteps(tracker *Tracker, steps []step) {
	for _, s := range steps {
		now := start.Add(s.at)
		switch {
		case s.leave:
			tracker.Leave(now, s.id)
		case s.replacement != "":
			tracker.ObserveReplacement(s.id, s.replacement)
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
		{"announced stop", []step{{id: "a", sequence: 1}, {id: "a", leave: true}}, second, "a", false},
		{"announced stop of an earlier incarnation", []step{{id: "a", sequence: 1}, {id: "b", sequence: 1}, {id: "a", leave: true}}, second, "b", true},
		{"new incarnation after a draining one", []step{{id: "a", sequence: 9, draining: true}, {id: "b", sequence: 1}}, second, "b", true},
		{"late heartbeat of an earlier incarnation",
			[]step{{id: "a", sequence: 9}, {id: "b", sequence: 1}, {id: "a", sequence: 9}}, second, "b", true},
		{"request refused by another incarnation", []step{{id: "a", sequence: 9}, {id: "a", replacement: "b"}}, second, "", false},
		{"request refused by another incarnation, then its heartbeat", []step{{id: "a", sequence: 9}, {id: "a", replacement: "b"}, {id: "b", sequence: 1}}, second, "b", true},
		{"late refusal of a request to an earlier incarnation", []step{{id: "a", sequence: 9}, {id: "b", sequence: 1}, {id: "a", replacement: "c"}}, second, "b", true},
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
