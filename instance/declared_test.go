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
	_, known := memory.Lookup("node")
	is.True(!known)
	memory.Record(at(100), at(50), "node", limited)
	memory.Record(at(120), at(60), "node", Declared{Incarnation: "i-1"}) // sent before the restriction was known
	got, known := memory.Lookup("node")
	is.True(known)
	is.Equal(got, limited)
	_, known = memory.Lookup("other")
	is.True(!known)
	memory.Record(at(200), at(101), "node", Declared{Incarnation: "i-1"})
	_, known = memory.Lookup("node")
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
	_, known := memory.Lookup(fmt.Sprint("node-", 3*maximumEntries-1))
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
