package instance

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/instance"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/membership"
	"github.com/loomcleat/loomcleat/settings"
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
	p.tracker.ObserveReplacement(now, "b@20", "a")
	is.NoErr(p.tracker.Observe(now, instance.Report{ID: "a", Born: 10, Service: "s", Sequence: 2})) // late
	is.True(!p.tracker.State().Open(now))
}

// stubMesh is a kernel.Mesh that announces nothing.
type stubMesh struct{ kernel.Mesh }

func (stubMesh) SetState(_, _ bool) {}

func (stubMesh) SetLeftBackEnd(membership.BackEndStart) {}

func nodeSettings() settings.Settings {
	s := settings.Default(settings.RoleNode)
	s.Service, s.Backend, s.Heartbeats = "s", "127.0.0.1:1", "127.0.0.1:0"
	s.Listen, s.Outbound, s.Control, s.Admin = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	return s
}

// newPlugin returns the plug-in of a process that is not started. The test plays its control loop.
func newPlugin(t *testing.T) *plugin {
	t.Helper()
	process, err := kernel.New(kernel.Options{Settings: nodeSettings(), Log: event.Discard()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(process.Kill)
	process.Mesh = stubMesh{}
	return process.BackEnd.(*plugin)
}

// observe processes a heartbeat that says ready.
func (p *plugin) observe(t *testing.T, id string, born int64) {
	t.Helper()
	report := instance.Report{ID: id, Born: born, Service: "s", Address: "127.0.0.1:1", Sequence: 1}
	is.New(t).NoErr(p.tracker.Observe(clock.Now().Time(), report))
	p.publish()
}

// callOf returns a call whose sender has known for a time that an incarnation is leaving.
func callOf(incarnation string, leavingFor time.Duration) *kernel.Call {
	return &kernel.Call{Declared: instance.Declared{Incarnation: incarnation, Leaving: true, LeavingFor: &leavingFor}}
}

// TestLaterDeclarationDoesNotProlong guards against a back end that gets requests for longer since a process
// that was started again heard from it that it leaves before a caller told that it has left long ago.
func TestLaterDeclarationDoesNotProlong(t *testing.T) {
	is := is.New(t)
	p := newPlugin(t)
	p.observe(t, "a", 10)
	p.ObserveLeaving("a@10", time.Now())
	is.True(p.State().Open(clock.Now().Time()))
	state := p.recall(callOf("a@10", 3*time.Second))
	is.True(!state.Open(clock.Now().Time()))
	p.recordDeclaredLeaving()
	p.publish()
	is.True(!p.State().Open(clock.Now().Time())) // also by the tracker
}

// TestRecentDeclarationLeavesTime guards against refused requests of callers that don't know yet that the
// back end leaves, since another one that has just learned it calls.
func TestRecentDeclarationLeavesTime(t *testing.T) {
	is := is.New(t)
	p := newPlugin(t)
	p.observe(t, "a", 10)
	p.ObserveLeaving("a@10", time.Now())
	is.True(p.recall(callOf("a@10", 0)).Open(clock.Now().Time()))
	is.True(p.recall(callOf("b@10", time.Hour)).Open(clock.Now().Time())) // another back end
	is.True(!p.recall(&kernel.Call{Declared: instance.Declared{Incarnation: "a@10", Leaving: true}}).Open(clock.Now().Time()))
}
