package instance

import (
	"strconv"
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
			_ = tracker.Leave(now, s.id, s.born)
		case s.replacement != "":
			tracker.ObserveReplacement(now, s.id, s.replacement)
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
			[]step{{id: "a", born: 20, sequence: 9}, {at: silentAfter, id: "a", born: 10, sequence: 1, draining: true}}, silentAfter, "a", false},
		{"starts again with a clock that was set back, after a long silence of a leaving one",
			[]step{{id: "a", born: 20, sequence: 9, draining: true}, {at: latestHeartbeat, id: "a", born: 10, sequence: 1}}, latestHeartbeat, "a", true},
		{"late heartbeat of an earlier start, after a silence of a leaving one",
			[]step{{id: "a", born: 20, sequence: 9}, {id: "a", born: 20, leave: true}, {at: 2 * silentAfter, id: "a", born: 10, sequence: 5}}, 2 * silentAfter, "a", false},
		{"a back end that came before starts again under its id",
			[]step{{id: "a", born: 10, sequence: 9}, {id: "b", born: 20, sequence: 1}, {id: "a", born: 30, sequence: 1}}, second, "a", true},
		{"announced stop, then the first heartbeat, late", []step{{id: "a", born: 10, leave: true}, {at: second, id: "a", born: 10, sequence: 1}}, 3 * second, "", false},
		{"announced stop without a time of start, then the first heartbeat, late",
			[]step{{id: "a", leave: true}, {at: 3 * second, id: "a", born: 10, sequence: 1}}, 5 * second, "", false},
		{"announced stop without a time of start, then a later start",
			[]step{{id: "a", leave: true}, {at: latestHeartbeat, id: "a", born: 10, sequence: 1}}, latestHeartbeat + second, "a", true},
		{"announced stop, then a later start", []step{{id: "a", born: 10, leave: true}, {id: "a", born: 20, sequence: 1}}, second, "a", true},
		{"announced stop, then a late heartbeat of an earlier start",
			[]step{{id: "a", born: 20, leave: true}, {id: "a", born: 10, sequence: 5}}, second, "", false},
		{"announced stop of a later start whose heartbeats are late",
			[]step{{id: "a", born: 10, sequence: 9}, {id: "a", born: 20, leave: true}, {id: "a", born: 20, sequence: 1}, {id: "a", born: 10, sequence: 10}}, second, "", false},
		{"announced stop with a time of start, then its first heartbeat",
			[]step{{id: "a", sequence: 9}, {id: "a", born: 20, leave: true}, {id: "a", born: 20, sequence: 1}}, second, "a", false},
		{"announced stop of another back end, whose first heartbeat is late",
			[]step{{id: "a", born: 10, sequence: 9}, {id: "b", born: 20, leave: true}, {id: "b", born: 20, sequence: 1}}, second, "a", true},
		{"announced stop of another back end, which then refuses a request",
			[]step{{id: "a", born: 10, sequence: 9}, {id: "b", born: 20, leave: true}, {id: "a@10", replacement: "b"}, {id: "b", born: 20, sequence: 1}}, second, "", false},
		{"a draining one that was replaced sends another heartbeat",
			[]step{{id: "a", born: 10, sequence: 1}, {id: "a", born: 10, sequence: 2, draining: true}, {id: "b", born: 20, sequence: 1},
				{id: "b@20", replacement: "c"}, {id: "a", born: 10, sequence: 3}}, second, "", false},
		{"a back end that came before refuses a request to another, then its heartbeat",
			[]step{{id: "a", born: 10, sequence: 9}, {id: "b", born: 20, sequence: 1}, {id: "b@20", replacement: "a"}, {id: "a", born: 10, sequence: 9}}, second, "a", true},
		{"announced stop of an earlier start than a former one, which then refuses a request",
			[]step{{id: "a", born: 10, sequence: 1}, {id: "b", born: 20, sequence: 1}, {id: "a", born: 5, leave: true},
				{id: "b@20", replacement: "a"}, {id: "a", born: 5, sequence: 1}}, second, "", false},
		{"late draining heartbeat of a back end that came before, which then refuses a request",
			[]step{{id: "a", born: 10, sequence: 5}, {id: "b", born: 20, sequence: 1}, {id: "a", born: 10, sequence: 4, draining: true},
				{id: "b@20", replacement: "a"}, {id: "a", born: 10, sequence: 6}}, second, "", false},
		{"draining heartbeat after a newer one", []step{{id: "a", born: 10, sequence: 5}, {id: "a", born: 10, sequence: 4, draining: true}}, second, "a", false},
		{"first heartbeat says draining", []step{{id: "a", born: 10, sequence: 5, draining: true}}, 0, "a", false},
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

// TestEndOfUnknownStartIsNotAcknowledged guards against acknowledging that a start leaves while
// requests are still sent to what may be that start, with a clock that was set back.
func TestEndOfUnknownStartIsNotAcknowledged(t *testing.T) {
	running := Report{ID: "a", Born: 20, Service: "s", Sequence: 1}
	draining := Report{ID: "a", Born: 10, Service: "s", Sequence: 1, Draining: true}
	t.Run("start that was not heard of", func(t *testing.T) {
		is := is.New(t)
		tracker := NewTracker(Config{Service: "s"})
		is.NoErr(tracker.Observe(start, running))
		is.True(tracker.Observe(start, draining) != nil)
		is.True(tracker.Leave(start, "a", 10) != nil)
		is.True(tracker.State().Open(start.Add(second)))
	})
	t.Run("start that has ended", func(t *testing.T) {
		is := is.New(t)
		tracker := NewTracker(Config{Service: "s"})
		is.NoErr(tracker.Observe(start, Report{ID: "a", Born: 10, Service: "s", Sequence: 1}))
		is.NoErr(tracker.Observe(start, running))
		is.NoErr(tracker.Observe(start, draining))
		is.NoErr(tracker.Leave(start, "a", 10))
		is.True(tracker.State().Open(start.Add(second)))
	})
	t.Run("silent start is replaced", func(t *testing.T) {
		is := is.New(t)
		tracker := NewTracker(Config{Service: "s"})
		is.NoErr(tracker.Observe(start, running))
		is.NoErr(tracker.Observe(start.Add(silentAfter), draining))
		is.True(!tracker.State().Open(start.Add(silentAfter)))
	})
}

// TestRecallLeft guards against opening a back end that had announced its stop to the process that ran
// here before, and against recalls that are repeated and close a later start or hide a later stop.
func TestRecallLeft(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker(Config{Service: "s"})
	is.True(tracker.RecallLeft(start, "a", 10))
	is.True(!tracker.RecallLeft(start, "a", 10))
	is.NoErr(tracker.Observe(start, Report{ID: "a", Born: 10, Service: "s", Sequence: 5})) // late
	is.True(!tracker.State().Open(start))

	is.NoErr(tracker.Observe(start, Report{ID: "a", Born: 20, Service: "s", Sequence: 1}))
	is.True(!tracker.RecallLeft(start, "a", 10))
	is.True(tracker.State().Open(start))
	is.True(tracker.RecallLeft(start, "a", 20))
	is.True(!tracker.State().Open(start)) // no time is left for requests
	is.True(!tracker.RecallLeft(start, "a", 20))

	is.NoErr(tracker.Observe(start, Report{ID: "b", Born: 30, Service: "s", Sequence: 1}))
	is.NoErr(tracker.Leave(start, "b", 30))
	is.True(!tracker.RecallLeft(start, "a", 10))
	is.Equal(tracker.Left(), []Start{{ID: "a", Born: 10}, {ID: "a", Born: 20}, {ID: "b", Born: 30}})
}

// TestLateFirstHeartbeatAfterLeavingAnswer guards against opening a start that has declared in an answer
// that it leaves, when its first heartbeat arrives after that, and against closing one that began later.
func TestLateFirstHeartbeatAfterLeavingAnswer(t *testing.T) {
	const day = int64(1790000000000) // time of day at start
	cases := []struct {
		name string
		id   string
		// Start of the new incarnation, relative to the request whose answer declared leaving.
		born time.Duration
		// By how much the time of day is set back after that answer.
		setBack time.Duration
		open    bool
	}{
		{"its own answer", "a", -time.Millisecond, 0, false},
		{"answer of the start before", "a", time.Millisecond, 0, true},
		{"answer of the start before, clock set back", "a", time.Millisecond - time.Hour, time.Hour, true},
		{"another back end", "b", -time.Millisecond, 0, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			tracker := NewTracker(Config{Service: "s"})
			first := day - 10*time.Hour.Milliseconds()
			is.NoErr(tracker.Observe(start, Report{ID: "a", Born: first, Service: "s", Sequence: 9, ArrivedAt: day}))
			sent := start.Add(second)
			is.True(tracker.ObserveLeaving(tracker.State().Incarnation(), sent))
			tracker.ObserveLeavingAnswer(LeavingAnswer{SentAt: sent, SentDay: day + 1000})
			now := start.Add(5 * second)
			born := day + 1000 + c.born.Milliseconds()
			is.NoErr(tracker.Observe(now, Report{ID: c.id, Born: born, Service: "s", Sequence: 1, ArrivedAt: day + 5000 - c.setBack.Milliseconds()}))
			is.Equal(tracker.State().Born, born)
			is.Equal(tracker.State().Open(now), c.open)
		})
	}
}

// TestFormerIncarnationsAreBounded guards against memory that grows with the back ends that leave, and
// against forgetting the latest of them.
func TestFormerIncarnationsAreBounded(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker(Config{Service: "s"})
	const count = 2*maximumFormer + 10
	for number := range count {
		is.NoErr(tracker.Leave(start, strconv.Itoa(number), 10))
	}
	is.Equal(len(tracker.former.byID), maximumFormer)
	for number := count - maximumFormer; number < count; number++ {
		is.NoErr(tracker.Observe(start, Report{ID: strconv.Itoa(number), Born: 10, Service: "s", Sequence: 1}))
		is.Equal(tracker.State().ID, "")
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

// TestRecallWithoutTimeOfStart guards against a running back end that is closed by the announcement of a start
// before, which did not say which one it was, in each process that is started after it.
func TestRecallWithoutTimeOfStart(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker(Config{Service: "s"})
	is.True(tracker.RecallLeft(start, "a", 0))
	is.NoErr(tracker.Observe(start, Report{ID: "a", Service: "s", Sequence: 1})) // late
	is.True(!tracker.State().Open(start))
	is.NoErr(tracker.Observe(start, Report{ID: "a", Born: 20, Service: "s", Sequence: 1}))
	is.True(tracker.State().Open(start))
	is.True(!tracker.RecallLeft(start, "a", 0))
	is.True(tracker.State().Open(start))
}

// TestStartWithEarlierClockIsOpened guards against a back end that gets no requests for as long as it runs, since
// its clock was set back after a start that has left.
func TestStartWithEarlierClockIsOpened(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker(Config{Service: "s"})
	is.True(tracker.RecallLeft(start, "a", 100))
	earlier := Report{ID: "a", Born: 90, Service: "s", Sequence: 1}
	is.NoErr(tracker.Observe(start.Add(latestHeartbeat-1), earlier)) // perhaps late
	is.True(!tracker.State().Open(start.Add(latestHeartbeat)))
	is.NoErr(tracker.Observe(start.Add(latestHeartbeat), earlier))
	is.True(tracker.State().Open(start.Add(latestHeartbeat)))
	is.NoErr(tracker.Observe(start.Add(latestHeartbeat), Report{ID: "a", Born: 100, Service: "s", Sequence: 9}))
	is.Equal(tracker.State().Born, int64(90)) // what has left stays so
}
