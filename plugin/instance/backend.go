package instance

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/instance"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/result"
)

// closeDivisor makes a node hand requests to a leaving back end for half of backend_drain, so
// that callers that have not heard of it lose nothing. The other half is the margin before
// the time by which the back end was promised no new work.
const closeDivisor = 2

// announceInterval is the time between two checks that what is announced is
// what is known.
const announceInterval = time.Second

// plugin follows the back end of one process. The tracker is owned by the
// control loop.
type plugin struct {
	process     *kernel.Process
	tracker     *instance.Tracker
	state       atomic.Pointer[instance.State]
	unreachable atomic.Bool // since the last heartbeat
}

// State implements kernel.BackEnd.
func (p *plugin) State() instance.State { return *p.state.Load() }

// Observe implements kernel.BackEnd.
func (p *plugin) Observe(ctx context.Context, report instance.Report) error {
	refused, err := kernel.Ask(ctx, p.process.Loop, func(now time.Time) error {
		err := p.tracker.Observe(now, report)
		p.unreachable.Store(false)
		p.publish()
		return err
	})
	if err != nil {
		return err
	}
	if refused != nil {
		p.process.Log.Emit(event.HeartbeatRefused, "instance", report.ID, "address", report.Address, "error", refused)
	}
	return refused
}

// Leave implements kernel.BackEnd.
func (p *plugin) Leave(ctx context.Context, id string) error {
	return p.process.Loop.Do(ctx, func(now time.Time) {
		p.tracker.Leave(now, id)
		p.publish()
	})
}

// Found implements kernel.BackEnd.
func (p *plugin) Found(expected, actual string) {
	p.process.Loop.Post(func(time.Time) {
		p.tracker.Found(expected, actual)
		p.publish()
	})
}

// Unreachable implements kernel.BackEnd.
func (p *plugin) Unreachable() {
	if p.unreachable.Swap(true) {
		return
	}
	p.process.Log.Emit(event.BackendDown, "backend", p.process.Settings.Backend, "instance", p.State().ID)
	p.process.Loop.Post(func(time.Time) { p.announce() })
}

// publish makes a new state known to traffic and to peers, and logs what has
// changed. It runs on the control loop.
func (p *plugin) publish() {
	before, after := p.State(), p.tracker.State()
	p.state.Store(&after)
	if before.ID != after.ID {
		p.process.Log.Emit(event.InstanceChanged, "instance", after.ID, "before", before.ID, "slots", after.Slots)
	}
	if after.Leaving && !before.Leaving {
		p.process.Log.Emit(event.BackendDraining, "backend", p.process.Settings.Backend, "instance", after.ID)
	}
	p.announce()
}

// announce tells peers whether requests may be sent here. It runs on the
// control loop.
func (p *plugin) announce() {
	state := p.tracker.State()
	p.process.Mesh.SetState(state.Leaving, state.ID == "" || p.unreachable.Load())
}

func (p *plugin) middleware(next kernel.Handler) kernel.Handler {
	return kernel.HandlerFunc(func(call *kernel.Call) (*kernel.Answer, error) {
		state := p.State()
		if !state.Open(clock.Now().Time()) {
			return nil, result.New(result.BackendLeft, "the back end %q of this node takes no more requests", state.ID).WithUsualRetryAfter()
		}
		return next.Handle(call)
	})
}
