package instance

import (
	"context"
	"time"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/instance"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/membership"
)

// recallCheckInterval is the time between two checks whether the starts that had left are known.
const recallCheckInterval = 200 * time.Millisecond

// Sources of what had left, for the log.
const (
	sourceStore  = "store"
	sourcePeer   = "peer"
	sourceCaller = "caller"
)

// RecallPredecessor implements kernel.BackEnd. A process whose back end was down may not have known itself what
// had left before it.
func (p *plugin) RecallPredecessor(now time.Time, predecessor membership.Member) {
	if predecessor.LeftBackEnd != nil {
		p.recallStart(now, instance.Start(*predecessor.LeftBackEnd), sourcePeer)
	}
	if !predecessor.Down {
		p.recalling.ObservePredecessor()
	}
}

// RecallFromPeer implements kernel.BackEnd.
func (p *plugin) RecallFromPeer(running time.Duration) { p.recalling.ObservePeer(running) }

// recallStart passes on to the tracker that a start had left. It runs on the control loop.
func (p *plugin) recallStart(now time.Time, left instance.Start, source string) {
	p.recordDeclaredLeaving()
	if !p.tracker.RecallLeft(now, left.ID, left.Born) {
		return
	}
	p.process.Log.Emit(event.LeavingRecalled, "instance", left.ID, "born", left.Born, "current", p.State().Incarnation(), "source", source)
	p.publish()
}

// recallStored passes on to the tracker what the store knows to have left. It runs on the control loop.
func (p *plugin) recallStored(now time.Time, stored []instance.Start) {
	for _, left := range stored {
		p.recallStart(now, left, sourceStore)
	}
	p.recalling.ObserveStore()
	p.confirm()
}

// confirm lets heartbeats open the back end. It runs on the control loop.
func (p *plugin) confirm() {
	if p.State().Unconfirmed {
		p.tracker.Recalled()
		p.publish()
	}
}

// awaitRecall checks whether the starts that had left are known until they are, or ctx is done.
func (p *plugin) awaitRecall(ctx context.Context) {
	for p.State().Unconfirmed && ctx.Err() == nil {
		// The only errors are that ctx is done or the loop has stopped.
		_ = p.process.Loop.Do(ctx, p.checkRecall)
		kernel.Pause(ctx, recallCheckInterval)
	}
}

// checkRecall opens the back end if the store does not answer and peers know enough. It runs on the control
// loop.
func (p *plugin) checkRecall(now time.Time) {
	if !p.State().Unconfirmed || !p.recalling.Known(now.Sub(p.startedAt)) {
		return
	}
	p.process.Log.Emit(event.RecalledFromPeers, "instance", p.State().Incarnation())
	p.confirm()
}

// recall takes over what the sender of a call knows, perhaps from the process that ran here before: the back
// end is leaving, and for how long. It returns the state after that. A sender that does not tell the time
// may have known it for long, so that no time is left for further requests.
func (p *plugin) recall(call *kernel.Call) instance.State {
	declared := call.Declared
	if !declared.Leaving {
		return p.State()
	}
	now := clock.Now().Time()
	closesAt := now
	if declared.LeavingFor != nil {
		closesAt = now.Add(p.closeAfter - *declared.LeavingFor)
	}
	p.setLeaving(declared.Incarnation, closesAt, true)
	state := p.State()
	if state.ID == "" {
		p.recallUnknown(declared.Incarnation)
	}
	return state
}

// recallUnknown takes over that an incarnation is leaving whose heartbeats may still arrive.
func (p *plugin) recallUnknown(incarnation string) {
	id, born := instance.ParseIncarnation(incarnation)
	if id == "" {
		return
	}
	// If the queue of the control loop is full, the next call of the sender tells it again.
	p.process.Loop.Post(func(now time.Time) {
		if p.State().ID == "" {
			p.recallStart(now, instance.Start{ID: id, Born: born}, sourceCaller)
		}
	})
}
