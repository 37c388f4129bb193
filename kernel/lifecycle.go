package kernel

import (
	"context"
	"sync"
	"time"

	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/wire"
)

// readinessInterval is the time between two checks of readiness.
const readinessInterval = 20 * time.Millisecond

// Start serves until Stop. It implements transport.Server of kratos.
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

// logStart writes the line of a start: who this is and the settings in force.
func (p *Process) logStart() {
	s := &p.Settings
	p.Log.Emit(event.ProcessStarting, "id", p.ID, "role", string(s.Role), "region", s.Region, "zone", s.Zone,
		"service", s.Service, "backend", s.Backend,
		"listen", p.TrafficAddress(), "control", p.ControlAddress(), "admin", p.AdminAddress(), "outbound", p.OutboundAddress(),
		"entry", s.Entry, "store", s.Store, "store_api", s.StoreAPI, "claims", s.Claims,
		"retry_ratio", s.RetryBudget.Ratio, "retry_slack", s.RetryBudget.Slack, "retry_window", s.RetryBudget.Window.Std().String(),
		"backend_drain", s.BackendDrain.Std().String(), "stop_within", s.StopWithin.Std().String())
}

// waitReady marks the process ready once all conditions hold.
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

// Stop ends the process in order: it says that it is not ready and still takes requests
// for the announce time, near the end of which it tells its peers that it leaves, then
// refuses new ones and waits for those in flight, then ends. It implements
// transport.Server of kratos.
func (p *Process) Stop(ctx context.Context) error {
	p.stopOnce.Do(func() { p.stop(ctx) })
	return nil
}

func (p *Process) stop(ctx context.Context) {
	p.leaving.Store(true)
	p.Log.Emit(event.ProcessDraining, "id", p.ID, "in_flight", p.inFlight.Load())
	p.waitAnnounced(ctx)
	p.draining.Store(true)
	if !p.waitIdle(ctx) {
		p.Log.Emit(event.DrainTimedOut, "id", p.ID, "in_flight", p.inFlight.Load())
	}
	p.servers.stop()
	p.cancel()
	p.Control.Close()
	p.Log.Emit(event.ProcessStopped, "id", p.ID)
	close(p.stopped)
}

// drainHookTimeout bounds what plug-ins do before the process refuses requests.
const drainHookTimeout = 5 * time.Second

// peerNotice is how long before it refuses requests a stopping process tells its peers.
// Gossip reaches all of a mesh of hundreds well within it. Callers that look at
// readiness need longer to go elsewhere; if peers avoided the process as long, its back
// end, which stays, would stand idle for seconds at each restart.
const peerNotice = time.Second

// announce tells the peers that the process leaves. It fails only when the time to stop
// has run out: then the process ends at once, and the peers notice its silence.
func (p *Process) announce(ctx context.Context) {
	p.announced.Store(true)
	_ = p.Loop.Do(ctx, func(time.Time) { p.Mesh.SetState(true, false) })
}

// waitAnnounced waits for the announce time, tells the peers in time, and waits for the
// plug-ins that hand something over.
func (p *Process) waitAnnounced(ctx context.Context) {
	announce, _ := p.Settings.StopTimes()
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

// Go runs a function in a goroutine of its own. A stopping process waits for it
// as for a request in flight.
func (p *Process) Go(run func()) {
	p.inFlight.Add(1)
	go func() {
		defer p.inFlight.Add(-1)
		run()
	}()
}

// waitIdle waits until no request is in flight and reports whether that came
// within the drain timeout.
func (p *Process) waitIdle(ctx context.Context) bool {
	_, drain := p.Settings.StopTimes()
	ctx, cancel := context.WithTimeout(ctx, drain)
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

// Kill ends the process at once, as a crash would: nothing is announced and
// requests in flight are cut off.
func (p *Process) Kill() {
	p.stopOnce.Do(func() {
		p.servers.kill()
		p.cancel()
		p.Control.Close()
		close(p.stopped)
	})
}
