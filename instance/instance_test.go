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
	born     int64
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
			tracker.Leave(now, s.id, s.born)
		case s.replacement != "":
			tracker.ObserveReplacement(s.id, s.replacement)
		default:
			_ = tracker.Observe(now, Report{ID: s.id, Born: s.born, Service: "s", Slots: 4, Sequence: s.sequence, Draining: s.draining})
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

		{"starts again under its id", []step{{id: "a", born: 10, sequence: 9, draining: true}, {id: "a", born: 20, sequence: 1}}, second, "a", true},
		{"late heartbeat of the earlier incarnation of the same id",
			[]step{{id: "a", born: 20, sequence: 1}, {id: "a", born: 10, sequence: 9, draining: true}}, second, "a", true},
		{"late announced stop of the earlier incarnation of the same id",
			[]step{{id: "a", born: 20, sequence: 1}, {id: "a", born: 10, leave: true}}, second, "a", true},
		{"announced stop of the incarnation", []step{{id: "a", born: 20, sequence: 1}, {id: "a", born: 20, leave: true}}, second, "a", false},
		{"announced stop with a time of start that heartbeats did not tell", []step{{id: "a", sequence: 1}, {id: "a", born: 20, leave: true}}, second, "a", false},
		{"announced stop without a time of start", []step{{id: "a", born: 20, sequence: 1}, {id: "a", leave: true}}, second, "a", false},
		{"a draining one that tells no time of start stays so", []step{{id: "a", born: 10, sequence: 9, draining: true}, {id: "a", sequence: 10}}, second, "a", false},
		{"the time of start is told later", []step{{id: "a", sequence: 9, draining: true}, {id: "a", born: 10, sequence: 10}}, second, "a", false},
		{"starts again, and tells the time of start only then", []step{{id: "a", sequence: 9, draining: true}, {id: "a", born: 10, sequence: 1}}, second, "a", true},
		{"starts again with a clock that was set back, while the earlier one was heard lately",
			[]step{{id: "a", born: 20, sequence: 9, draining: true}, {at: second, id: "a", born: 10, sequence: 1}}, 2 * second, "a", false},
		{"starts again with a clock that was set back, after a silence",
			[]step{{id: "a", born: 20, sequence: 9, draining: true}, {at: silentAfter, id: "a", born: 10, sequence: 1}}, silentAfter + second, "a", true},
		{"a back end that came before starts again under its id",
			[]step{{id: "a", born: 10, sequence: 9}, {id: "b", born: 20, sequence: 1}, {id: "a", born: 30, sequence: 1}}, second, "a", true},
		{"late heartbeat of a back end that came before",
			[]step{{id: "a", born: 10, sequence: 9}, {id: "b", born: 20, sequence: 1}, {id: "a", born: 5, sequence: 99}}, second, "b", true},
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
