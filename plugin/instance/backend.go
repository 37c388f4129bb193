package instance

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/instance"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/membership"
	"github.com/loomcleat/loomcleat/result"
)

// closeDivisor divides backend_drain: a leaving back end still gets requests for one part of it, so
// that requests of processes that haven't received the announcement yet are not refused. The rest
// is a margin, since the back end relies on getting no new work after backend_drain.
const closeDivisor = 2

// announceInterval is the time after which the state is announced again even if it has not changed,
// since an announcement is dropped when the queue of the control loop is full.
const announceInterval = time.Second

// plugin tracks the back end of one node. The tracker is owned by the control loop.
type plugin struct {
	process *kernel.Process
	tracker *instance.Tracker
	// Time in which requests are still sent to a leaving back end.
	closeAfter time.Duration
	state      atomic.Pointer[instance.State]
	// Last answer that declared leaving, nil if there was none.
	leavingAnswer atomic.Pointer[instance.LeavingAnswer]
	// Whether a connection was refused since the last heartbeat.
	unreachable atomic.Bool
	// Start of the process, by clock.Now.
	startedAt time.Time
	// What is known of the starts that had left before. The control loop owns it.
	recalling instance.Recall
	// Keeps the starts that have left in the store, nil without a store.
	record *leftRecord
}

func (p *plugin) State() instance.State { return *p.state.Load() }

func (p *plugin) Observe(ctx context.Context, report instance.Report) error {
	report.ArrivedAt = time.Now().UnixMilli()
	refused, err := p.apply(ctx, func(now time.Time) error {
		p.unreachable.Store(false)
		return p.tracker.Observe(now, report)
	})
	if err != nil {
		return err
	}
	if refused != nil {
		p.process.Log.Emit(event.HeartbeatRefused, "instance", report.ID, "born", report.Born, "address", report.Address, "error", refused)
		return refused
	}
	if report.Draining {
		return p.record.await(ctx)
	}
	return nil
}

func (p *plugin) Leave(ctx context.Context, id string, born int64) error {
	current := p.State().Incarnation()
	refused, err := p.apply(ctx, func(now time.Time) error { return p.tracker.Leave(now, id, born) })
	if err != nil {
		return err
	}
	if refused != nil {
		p.process.Log.Emit(event.HeartbeatRefused, "instance", id, "born", born, "error", refused)
		return refused
	}
	p.process.Log.Emit(event.LeaveAnnounced, "instance", id, "born", born, "current", current)
	return p.record.await(ctx)
}

// apply applies a message of the back end to the tracker, on the control loop, and publishes the result.
// refused is the tracker's error; err is that of the control loop.
func (p *plugin) apply(ctx context.Context, message func(now time.Time) error) (refused, err error) {
	return kernel.Query(ctx, p.process.Loop, func(now time.Time) error {
		p.recordDeclaredLeaving()
		refused := message(now)
		p.publish()
		return refused
	})
}

// recordDeclaredLeaving passes leaving that an answer has declared on to the tracker. The task that
// does so may have found no room in the queue of the control loop. It runs on the control loop.
func (p *plugin) recordDeclaredLeaving() {
	if state := p.State(); state.Leaving {
		p.tracker.ObserveLeaving(state.Incarnation(), state.ClosesAt)
	}
	if answer := p.leavingAnswer.Load(); answer != nil {
		p.tracker.ObserveLeavingAnswer(*answer)
	}
}

func (p *plugin) ObserveLeaving(incarnation string, sentAt time.Time) {
	sent := clock.Now().Add(-time.Since(sentAt)).Time()
	p.leavingAnswer.Store(&instance.LeavingAnswer{SentAt: sent, SentDay: sentAt.UnixMilli()})
	p.setLeaving(incarnation, clock.Now().Time().Add(p.closeAfter), false)
}

// setLeaving closes an incarnation from closesAt on. Requests and reports see that at once; the control
// loop, which owns the tracker, follows. recalled tells the source for the log.
func (p *plugin) setLeaving(incarnation string, closesAt time.Time, recalled bool) {
	before, after := p.changeState(func(state instance.State) instance.State {
		return state.WithLeaving(incarnation, closesAt)
	})
	if before.Leaving == after.Leaving && before.ClosesAt.Equal(after.ClosesAt) {
		return
	}
	p.process.Log.Emit(event.LeavingDeclared, "backend", p.process.Settings.Backend, "instance", incarnation, "recalled", recalled)
	p.process.Loop.Post(func(time.Time) {
		p.tracker.ObserveLeaving(incarnation, closesAt)
		p.publish()
	})
}

func (p *plugin) ObserveReplacement(expected, actual string) {
	p.process.Loop.Post(func(now time.Time) {
		p.recordDeclaredLeaving()
		p.tracker.ObserveReplacement(now, expected, actual)
		p.publish()
	})
}

func (p *plugin) RecordUnreachable() {
	if p.unreachable.Swap(true) {
		return
	}
	p.process.Log.Emit(event.BackendDown, "backend", p.process.Settings.Backend, "instance", p.State().Incarnation())
	p.process.Loop.Post(func(time.Time) { p.announce() })
}

// changeState replaces the state that requests read and returns the one before and the one after.
func (p *plugin) changeState(change func(instance.State) instance.State) (before, after instance.State) {
	for {
		old := p.state.Load()
		replaced := change(*old)
		if p.state.CompareAndSwap(old, &replaced) {
			return *old, replaced
		}
	}
}

// publish publishes the state of the tracker to the request path and to peers, and logs changes. It
// runs on the control loop.
func (p *plugin) publish() {
	current := p.tracker.State()
	before, after := p.changeState(func(state instance.State) instance.State {
		if state.Leaving {
			return current.WithLeaving(state.Incarnation(), state.ClosesAt)
		}
		return current
	})
	p.process.RateLimit.Begin(after.Incarnation())
	if before.Incarnation() != after.Incarnation() {
		p.process.Log.Emit(event.InstanceChanged, "instance", after.Incarnation(), "before", before.Incarnation(), "slots", after.Slots)
	}
	if after.Leaving && !before.Leaving {
		p.process.Log.Emit(event.BackendDraining, "backend", p.process.Settings.Backend, "instance", after.Incarnation())
	}
	p.record.want(p.tracker.Left())
	p.announce()
}

// announce announces to peers whether they may send requests to this node. It runs on the control
// loop.
func (p *plugin) announce() {
	state := p.State()
	p.process.Mesh.SetState(state.Leaving, state.ID == "" || state.Unconfirmed || p.unreachable.Load())
	if left := p.tracker.Left(); len(left) > 0 {
		p.process.Mesh.SetLeftBackEnd(membership.BackEndStart(left[len(left)-1]))
	}
}

func (p *plugin) middleware(next kernel.Handler) kernel.Handler {
	return kernel.HandlerFunc(func(call *kernel.Call) (*kernel.Answer, error) {
		state := p.recall(call)
		if !state.Open(clock.Now().Time()) {
			return nil, result.New(result.BackendLeft, "the back end %q of this node takes no more requests", state.ID).WithUsualRetryAfter()
		}
		return next.Handle(call)
	})
}
