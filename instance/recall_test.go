package instance

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRecall guards against a back end that is opened although no one who can know has told what had left,
// and against one that stays closed while the store is away.
func TestRecall(t *testing.T) {
	cases := []struct {
		name   string
		tell   func(*Recall)
		uptime time.Duration
		known  bool
	}{
		{"nobody told", func(*Recall) {}, StorePatience, false},
		{"store", (*Recall).ObserveStore, 0, true},
		{"peer that knew the process before, at once", (*Recall).ObservePredecessor, StorePatience - 1, false},
		{"peer that knew the process before", (*Recall).ObservePredecessor, StorePatience, true},
		{"peer that started with this process", func(r *Recall) { r.ObservePeer(0) }, StorePatience, false},
		{"peer that started before", func(r *Recall) { r.ObservePeer(latestHeartbeat - 1) }, StorePatience, false},
		{"peer that started long before", func(r *Recall) { r.ObservePeer(latestHeartbeat) }, StorePatience, true},
		{"peer that started after this process", func(r *Recall) { r.ObservePeer(-time.Hour) }, StorePatience, false},
		{"nobody told, and no heartbeat can be so late", func(*Recall) {}, latestHeartbeat, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var recall Recall
			c.tell(&recall)
			is.New(t).Equal(recall.Known(c.uptime), c.known)
		})
	}
}

// TestHeartbeatBeforeRecall guards against requests to a back end that had left before the process started,
// whose late heartbeat is faster than the store.
func TestHeartbeatBeforeRecall(t *testing.T) {
	is := is.New(t)
	ready := Report{ID: "a", Born: 10, Service: "s", Sequence: 1}
	tracker := NewTracker(Config{Service: "s", Recalls: true})
	is.NoErr(tracker.Observe(start, ready))
	is.True(!tracker.State().Open(start))
	tracker.RecallLeft(start, "a", 10)
	tracker.Recalled()
	is.True(!tracker.State().Open(start))

	tracker = NewTracker(Config{Service: "s", Recalls: true})
	is.NoErr(tracker.Observe(start, ready))
	tracker.RecallLeft(start, "b", 5)
	tracker.Recalled()
	is.True(tracker.State().Open(start)) // another one had left
}

// TestLeftKeepsRunningStartLast guards against a start whose leaving is forgotten, since late messages of
// others tell that they left.
func TestLeftKeepsRunningStartLast(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker(Config{Service: "s"})
	is.NoErr(tracker.Observe(start, Report{ID: "a", Born: 10, Service: "s", Sequence: 1}))
	is.NoErr(tracker.Leave(start, "a", 10))
	for born := range int64(2 * MaximumLeft) {
		is.NoErr(tracker.Leave(start, "b", born+1))
	}
	left := tracker.Left()
	is.Equal(len(left), MaximumLeft)
	is.Equal(left[len(left)-1], Start{ID: "a", Born: 10})
}
