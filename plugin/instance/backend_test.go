package instance

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/instance"
)

// TestDeclaredLeavingReachesTracker guards against a back end that is opened again, after another one
// was there, since the queue of the control loop was full when an answer declared that it leaves.
func TestDeclaredLeavingReachesTracker(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	p := &plugin{tracker: instance.NewTracker(instance.Config{Service: "s"})}
	is.NoErr(p.tracker.Observe(now, instance.Report{ID: "a", Born: 10, Service: "s", Sequence: 1}))
	closed := p.tracker.State().WithLeaving("a@10", now)
	p.state.Store(&closed)
	p.recordDeclaredLeaving()
	is.True(!p.tracker.State().Open(now))
	is.NoErr(p.tracker.Observe(now, instance.Report{ID: "b", Born: 20, Service: "s", Sequence: 1}))
	p.tracker.ObserveReplacement("b@20", "a")
	is.NoErr(p.tracker.Observe(now, instance.Report{ID: "a", Born: 10, Service: "s", Sequence: 2})) // late
	is.True(!p.tracker.State().Open(now))
}
