package kernel

import (
	"context"
	"sync"
	"time"

	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/settings"
	"github.com/loomcleat/loomcleat/wire"
)

// readinessInterval is the time between two checks of the readiness conditions.
const readinessInterval = 20 * time.Millisecond

// Start serves until Stop or Kill. It returns an error when a listener fails. It
// implements transport.Server of kratos.
func (p *Process) Start(context.Context) error {
	p.logStart()
	p.HandleControl("GET "+wire.PathStatus, p.serveStatus)
	failed := make(chan error, len(p.servers.list))
	p.servers.start(p, failed)
	go p.Loop.run(p.context)
	go p.waitReady()
	go p.watchSuspensions(p.context)
	for _, run := range p.hooks.start {
		go run(p.context)
	}
	select {
	case err := <-failed:
		p.Log.Emit(event.StartFailed, "error", err)
		return err
	case <-p.stopped:
		return nil
	}
}

// logStart logs the start of the process with its ID and settings.
func (p *Process) logStart() {
	s := &p.Settings
	p.Log.Emit(event.ProcessStarting, "id", p.ID, "role", string(s.Role), "region", s.Region, "zone", s.Zone,
		"service", s.Service, "backend", s.Backend,
		"listen", p.TrafficAddress(), "control", p.ControlAddress(), "admin", p.AdminAddress(), "outbound", p.OutboundAddress(),
		"entry", s.Entry, "store", s.Store, "store_api", s.StoreAPI, "claims", s.Claims,
		"retry_ratio", s.RetryBudget.Ratio, "retry_slack", s.RetryBudget.Slack, "retry_window", s.RetryBudget.Window.Std().String(),
		"backend_drain", s.BackendDrain.Std().String(), "stop_within", s.StopWithin.Std().String())
}

// waitReady waits until all readiness conditions hold, then marks the process as ready.
func (p *Process) waitReady() {
	ticker := time.NewTicker(readinessInterval)
	defer ticker.Stop()
	for !p.conditionsHold() {
		select {
		case <-ticker.C:
		case <-p.context.Done():
			return
		}
	}
	p.ready.Store(true)
	p.Log.Emit(event.ProcessReady, "id", p.ID)
}

func (p *Process) conditionsHold() bool {
	for _, condition := range p.hooks.readiness {
		if !condition() {
			return false
		}
	}
	return true
}

// Stop shuts the process down gracefully. For the announce time its readiness probe fails
// but it still accepts requests; near the end of that time it announces to its peers that
// it leaves. Then it refuses new requests, waits for those in flight, ends those that take
// too long, and stops. It implements transport.Server of kratos.
func (p *Process) Stop(ctx context.Context) error {
	p.stopOnce.Do(func() { p.stop(ctx) })
	return nil
}

func (p *Process) stop(ctx context.Context) {
	times := p.Settings.StopTimes()
	p.stopDeadline.set(times.Announce + times.Drain)
	p.leaving.Store(true)
	p.Log.Emit(event.ProcessDraining, "id", p.ID, "in_flight", p.inFlight.Load())
	p.waitAnnounced(ctx, times.Announce)
	p.draining.Store(true)
	p.finishCalls(ctx, times)
	p.servers.stop(times.Close / 2)
	// Callers that still write get the time that is left. If it is too short, their connections are cut.
	_ = p.waitIdle(ctx, p.stopDeadline.left())
	p.cancel()
	p.Control.Close()
	p.Log.Emit(event.ProcessStopped, "id", p.ID)
	close(p.stopped)
}

// finishCalls waits for the calls in flight. It ends those that are left at the stop deadline, and
// waits until they have been answered.
func (p *Process) finishCalls(ctx context.Context, times settings.StopTimes) {
	if p.waitIdle(ctx, p.stopDeadline.left()) {
		return
	}
	p.Log.Emit(event.DrainTimedOut, "id", p.ID, "in_flight", p.inFlight.Load())
	p.stopDeadline.endCalls()
	if !p.waitIdle(ctx, times.Close/2) {
		p.Log.Emit(event.CallsCutOff, "id", p.ID, "in_flight", p.inFlight.Load())
	}
}

// drainHookTimeout is the minimum timeout of the OnDrain functions.
const drainHookTimeout = 5 * time.Second

// peerNotice is the time between the announcement to the peers and the refusal of
// requests. It is long enough for gossip to reach all peers. It is shorter than the
// announce time, which is meant for clients that poll the readiness probe: peers avoid the
// node as soon as they receive the announcement, and its back end is idle from then on.
const peerNotice = time.Second

// announce announces to the peers that the process leaves. It fails only when the time to
// stop has run out. The process then stops at once, and peers detect it by their probes.
func (p *Process) announce(ctx context.Context) {
	p.leaveAnnounced.Store(true)
	_ = p.Loop.Do(ctx, func(time.Time) { p.Mesh.SetState(true, false) })
}

// waitAnnounced waits for the announce time, announces the leave to the peers within it,
// and waits for the OnDrain functions.
func (p *Process) waitAnnounced(ctx context.Context, announce time.Duration) {
	Pause(ctx, announce-peerNotice)
	p.announce(ctx)
	announced := time.NewTimer(min(announce, peerNotice))
	defer announced.Stop()
	hooks, cancel := context.WithTimeout(ctx, max(drainHookTimeout, announce))
	defer cancel()
	var group sync.WaitGroup
	for _, run := range p.hooks.drain {
		group.Go(func() { run(hooks) })
	}
	select {
	case <-announced.C:
	case <-ctx.Done():
	}
	group.Wait()
}

// Go runs a function in its own goroutine. It counts as a request in flight, for which a
// stopping process waits.
func (p *Process) Go(run func()) {
	p.inFlight.Add(1)
	go func() {
		defer p.inFlight.Add(-1)
		run()
	}()
}

// waitIdle waits until no request is in flight. It returns false when the timeout passes or
// ctx ends first.
func (p *Process) waitIdle(ctx context.Context, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for p.inFlight.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// Kill stops the process at once, as a crash would: it announces nothing and aborts the
// requests in flight.
func (p *Process) Kill() {
	p.stopOnce.Do(func() {
		p.servers.kill()
		p.cancel()
		p.Control.Close()
		close(p.stopped)
	})
}
