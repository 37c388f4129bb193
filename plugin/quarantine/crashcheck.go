package quarantine

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/quarantine"
	"github.com/loomcleat/loomcleat/transport/socket"
)

// Bounds of a crash check.
const (
	// settleTime is the delay of a check after a broken connection, so that the other
	// requests in flight during the same crash are recorded first.
	settleTime = 3 * time.Millisecond
	// checkInterval is the time between two steps of the check.
	checkInterval = 100 * time.Millisecond
	// minimumDialInterval is the minimum time between two connections that are opened only to check
	// the back end: each may briefly occupy one of its slots.
	minimumDialInterval = 50 * time.Millisecond
	// dialTimeout bounds the opening of such a connection. The back end is on the same
	// machine, which refuses connections at once if nothing listens.
	dialTimeout = 500 * time.Millisecond
	// dialsPerBreak is the number of connections that are opened after a broken connection.
	// The second one detects a crash during which the machine still accepted the first.
	dialsPerBreak = 2
	// maximumCheckTime bounds a check. A crashed back end is expected to restart, as another
	// incarnation, within some seconds.
	maximumCheckTime = 10 * time.Second
)

// crashCheck is a check whether the back end has crashed after it broke a connection. The
// zero value means that no check is open.
type crashCheck struct {
	// The incarnation that is checked.
	incarnation string
	// Time of the last broken connection.
	since time.Time
	// Time of the last connection opened for the check.
	dialed time.Time
	// Connections opened for the check after the last broken connection.
	dials int
}

// requestCheck wakes detectCrashes.
func (p *plugin) requestCheck() { kernel.Wake(p.checkDue) }

// detectCrashes runs crash checks on request, until ctx is done.
func (p *plugin) detectCrashes(ctx context.Context) {
	var steps <-chan time.Time // Nil while no check is open.
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.checkDue:
			kernel.Pause(ctx, settleTime)
		case <-steps:
		}
		if p.stepCheck(ctx, clock.Now().Time()) {
			ticker.Reset(checkInterval)
			steps = ticker.C
		} else {
			ticker.Stop()
			steps = nil
		}
	}
}

// stepCheck performs one step of the open check and reports whether the check stays open.
func (p *plugin) stepCheck(ctx context.Context, now time.Time) bool {
	check, dial := p.nextStep(now)
	switch {
	case check.incarnation == "":
		return false
	case p.isLeaving(check.incarnation):
		p.closeCheck(check.incarnation) // A graceful stop is no crash.
		return false
	case p.isReplaced(check.incarnation):
		p.recordCrash(check.incarnation, "replaced")
		return false
	case dial && refusesConnections(ctx, p.process.Settings.Backend):
		p.recordCrash(check.incarnation, "refuses-connections")
		return false
	case now.Sub(check.since) > maximumCheckTime:
		p.closeCheck(check.incarnation)
		return false
	default:
		return true
	}
}

// nextStep returns the open check and whether to open a connection in this step. It counts
// that connection.
func (p *plugin) nextStep(now time.Time) (open crashCheck, dial bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	open = p.check
	dial = open.incarnation != "" && open.dials < dialsPerBreak && now.Sub(open.dialed) >= minimumDialInterval
	if dial {
		p.check.dials++
		p.check.dialed = now
	}
	return open, dial
}

// closeCheck closes the check of an incarnation. A check of another one stays open.
func (p *plugin) closeCheck(incarnation string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.check.incarnation == incarnation {
		p.check = crashCheck{}
	}
}

// recordCrash records that an incarnation crashed with requests in flight and reports the crash
// to all processes. evidence is for the log.
func (p *plugin) recordCrash(incarnation, evidence string) {
	p.closeCheck(incarnation)
	p.unnamedCrashed.Store(true)
	p.mutex.Lock()
	suspects := p.unanswered.Suspects(incarnation)
	repeated := p.lastCrashed == incarnation // Further requests that were in flight during the same crash.
	p.lastCrashed = incarnation
	p.recordOwnCrash(incarnation)
	p.mutex.Unlock()
	if !repeated {
		p.crashCount.Add(1)
	}
	p.process.Log.Emit(event.BackendCrashed, "backend", p.process.Settings.Backend, "instance", incarnation, "found", evidence,
		"suspects", len(suspects), "signatures", suspects)
	crashes := []quarantine.CrashReport{{ID: incarnation, Suspects: suspects}}
	if p.mergeReports(clock.Now().Time(), crashes, p.process.ID) {
		go p.broadcast(crashes)
	}
}

// incarnation returns the id of the incarnation that a call was sent to. For a back end that
// sends no id, it is made from the process id and a counter, which grows with the first
// complete answer after a crash.
func (p *plugin) incarnation(call *kernel.Call) string {
	if call.Incarnation != "" {
		return call.Incarnation
	}
	return fmt.Sprintf("%s/%d", p.process.ID, p.unnamedIncarnation.Load())
}

// isLeaving reports whether an incarnation has announced that it leaves.
func (p *plugin) isLeaving(incarnation string) bool {
	if p.process.BackEnd == nil {
		return false
	}
	state := p.process.BackEnd.State()
	return state.Incarnation() == incarnation && state.Leaving
}

// isReplaced reports whether the back end now sends heartbeats as another incarnation.
func (p *plugin) isReplaced(incarnation string) bool {
	if p.process.BackEnd == nil {
		return false
	}
	present := p.process.BackEnd.State().Incarnation()
	return present != "" && present != incarnation
}

// refusesConnections reports whether nothing listens at an address. Timeouts and resets don't
// count, since overloaded back ends cause them as well.
func refusesConnections(ctx context.Context, address string) bool {
	conn, err := socket.Dialer{Timeout: dialTimeout}.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close() // Nothing was sent on the connection.
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
