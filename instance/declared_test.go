package instance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/ratelimit"
)

// TestMemoryKeepsOrder guards against an answer from before a restriction that makes a process
// forget it, and against a restriction that is never forgotten.
func TestMemoryKeepsOrder(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	at := func(milliseconds int) time.Time { return start.Add(time.Duration(milliseconds) * time.Millisecond) }
	limit := ratelimit.Rate(5)
	limited := Declared{Incarnation: "i-1", Limit: &limit}
	var memory Memory
	memory.Record(at(0), at(-10), "node", Declared{Incarnation: "i-1"})
	_, known := memory.Lookup(at(300), "node")
	is.True(!known)
	memory.Record(at(100), at(50), "node", limited)
	memory.Record(at(120), at(60), "node", Declared{Incarnation: "i-1"}) // sent before the restriction was known
	got, known := memory.Lookup(at(300), "node")
	is.True(known)
	is.Equal(got, limited)
	_, known = memory.Lookup(at(300), "other")
	is.True(!known)
	memory.Record(at(200), at(101), "node", Declared{Incarnation: "i-1"})
	_, known = memory.Lookup(at(300), "node")
	is.True(!known)
}

// TestMemoryIsBounded guards against a process that remembers each address that ever existed.
func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	var memory Memory
	now := time.Now()
	for i := range 3 * maximumEntries {
		memory.Record(now, now, fmt.Sprint("node-", i), Declared{Leaving: true})
	}
	is.True(len(memory.entries) <= maximumEntries)
	_, known := memory.Lookup(now, fmt.Sprint("node-", 3*maximumEntries-1))
	is.True(known) // the last one
}

// TestDeclaredLeaving guards against a back end that stays open although it has declared that it
// is leaving, and against one that is closed by a declaration of another incarnation.
func TestDeclaredLeaving(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	newTracker := func() *Tracker {
		tracker := NewTracker(Config{Service: "s", CloseAfter: time.Second})
		is.NoErr(tracker.Observe(now, Report{ID: "i-1", Service: "s", Sequence: 1}))
		return tracker
	}
	closesAt := now.Add(time.Second)
	tracker := newTracker()
	is.True(!tracker.ObserveLeaving("i-0", closesAt))
	is.True(tracker.State().Open(now))
	is.True(tracker.ObserveLeaving("i-1", closesAt))
	is.True(!tracker.ObserveLeaving("i-1", closesAt.Add(time.Second/2))) // does not extend the time
	is.True(tracker.State().Open(now.Add(time.Second - 1)))
	is.True(!tracker.State().Open(now.Add(time.Second)))
	is.NoErr(tracker.Observe(now, Report{ID: "i-1", Service: "s", Sequence: 2})) // a heartbeat that says ready
	is.True(!tracker.State().Open(now.Add(time.Second)))

	tracker = newTracker()
	is.True(!tracker.ObserveLeaving("i-0", now))
	is.True(tracker.State().Open(now))
	is.True(tracker.ObserveLeaving("i-1", now))
	is.True(!tracker.State().Open(now))
}

// TestMemoryKeepsLeaving guards against a process that forgets that a back end leaves, or for how long, since
// its node was started again and reports less.
func TestMemoryKeepsLeaving(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	limit := ratelimit.Rate(5)
	var memory Memory
	memory.Record(at(0), at(0), "node", Declared{Incarnation: "a", Leaving: true})
	memory.Record(at(2), at(1), "node", Declared{Incarnation: "a", Leaving: true})
	memory.Record(at(3), at(2), "node", Declared{Incarnation: "a", Limit: &limit})
	got, known := memory.Lookup(at(4), "node")
	is.True(known)
	is.True(got.Leaving)
	is.Equal(*got.LeavingFor, 4*time.Second)
	is.Equal(*got.Limit, limit)
	memory.Record(at(5), at(4), "node", Declared{Incarnation: "b", Leaving: true})
	got, _ = memory.Lookup(at(6), "node")
	is.Equal(*got.LeavingFor, time.Second) // another one
	memory.Record(at(8), at(7), "node", Declared{Incarnation: "c", Limit: &limit})
	got, _ = memory.Lookup(at(9), "node")
	is.True(!got.Leaving && got.LeavingFor == nil)
}

// TestEarliestCloseCounts guards against a leaving back end that gets requests for longer since what is
// known of it arrives in another order.
func TestEarliestCloseCounts(t *testing.T) {
	now := time.Unix(1000, 0)
	words := map[string]func(*Tracker){
		"heartbeat": func(tracker *Tracker) {
			_ = tracker.Observe(now, Report{ID: "a", Born: 10, Service: "s", Sequence: 2, Draining: true})
		},
		"announcement":  func(tracker *Tracker) { _ = tracker.Leave(now, "a", 10) },
		"answer":        func(tracker *Tracker) { tracker.ObserveLeaving("a@10", now.Add(second)) },
		"recalled":      func(tracker *Tracker) { tracker.RecallLeft(now, "a", 10) },
		"known earlier": func(tracker *Tracker) { tracker.ObserveLeaving("a@10", now.Add(-second)) },
	}
	closesAtOnce := map[string]bool{"recalled": true, "known earlier": true}
	for first, firstWord := range words {
		for then, thenWord := range words {
			t.Run(first+", then "+then, func(t *testing.T) {
				is := is.New(t)
				tracker := NewTracker(Config{Service: "s", CloseAfter: second})
				is.NoErr(tracker.Observe(now, Report{ID: "a", Born: 10, Service: "s", Sequence: 1}))
				firstWord(tracker)
				thenWord(tracker)
				is.Equal(tracker.State().Open(now), !closesAtOnce[first] && !closesAtOnce[then])
				is.True(!tracker.State().Open(now.Add(second)))
			})
		}
	}
}

func TestParseIncarnation(t *testing.T) {
	is := is.New(t)
	for _, state := range []State{{ID: "a", Born: 10}, {ID: "a"}, {ID: "a@b"}, {ID: "a@b", Born: 1}, {}} {
		id, born := ParseIncarnation(state.Incarnation())
		is.Equal(State{ID: id, Born: born}, state)
	}
}
