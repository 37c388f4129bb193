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

// Bounds of the check of a back end that has lost a request.
const (
	// settleTime is waited for after a lost request, so that the others that were lost in
	// the same crash are known.
	settleTime = 3 * time.Millisecond
	// checkInterval is the time between two steps of the check.
	checkInterval = 100 * time.Millisecond
	// dialPause is the least time between two connections that are opened only to see
	// whether the back end is there: each may hold one of its slots for a moment.
	dialPause = 50 * time.Millisecond
	// dialTimeout bounds the opening of such a connection. The back end is on the same
	// machine, which refuses at once when nothing listens.
	dialTimeout = 500 * time.Millisecond
	// dialsPerLoss is the number of connections that are opened after a lost request. The
	// second one is for a back end whose machine still accepted the first.
	dialsPerLoss = 2
	// checkTime is how long the check goes on. A back end that has crashed is back, as
	// another incarnation, within some seconds.
	checkTime = 10 * time.Second
)

// crashCheck is the check whether a back end that has lost a request has crashed. The zero
// value is none.
type crashCheck struct {
	instance string    // the incarnation that is checked
	since    time.Time // of the last lost request
	dialed   time.Time // when a connection was last opened
	dials    int       // since the last lost request
}

// requestCheck wakes detectCrashes.
func (p *plugin) requestCheck() { kernel.Wake(p.checkDue) }

// detectCrashes finds out whether the back end has crashed, each time a request was lost.
func (p *plugin) detectCrashes(ctx context.Context) {
	var steps <-chan time.Time // only while a check is open
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

// stepCheck looks at the back end once and reports whether the check stays open.
func (p *plugin) stepCheck(ctx context.Context, now time.Time) bool {
	check, dial := p.nextStep(now)
	switch {
	case check.instance == "":
		return false
	case p.isLeaving(check.instance):
		p.closeCheck(check.instance) // its end is planned
		return false
	case p.isReplaced(check.instance):
		p.crashed(check.instance, "replaced")
		return false
	case dial && refuses(ctx, p.process.Settings.Backend):
		p.crashed(check.instance, "refuses-connections")
		return false
	case now.Sub(check.since) > checkTime:
		p.closeCheck(check.instance)
		return false
	default:
		return true
	}
}

// nextStep returns the open check, and whether a connection is to be opened in this step.
func (p *plugin) nextStep(now time.Time) (open crashCheck, dial bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	open = p.check
	dial = open.instance != "" && open.dials < dialsPerLoss && now.Sub(open.dialed) >= dialPause
	if dial {
		p.check.dials++
		p.check.dialed = now
	}
	return open, dial
}

// closeCheck ends the check of an incarnation.
func (p *plugin) closeCheck(instance string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.check.instance == instance {
		p.check = crashCheck{}
	}
}

// crashed takes note that an incarnation has crashed while it worked on requests, and tells
// all others. found says how that showed.
func (p *plugin) crashed(instance, found string) {
	p.closeCheck(instance)
	p.unnamedCrashed.Store(true)
	p.mutex.Lock()
	suspects := p.lost.Suspects(instance)
	again := p.lastCrashed == instance // more was lost with it than was known at first
	p.lastCrashed = instance
	p.noteOwn(instance)
	p.mutex.Unlock()
	if !again {
		p.crashCount.Add(1)
	}
	p.process.Log.Emit(event.BackendCrashed, "backend", p.process.Settings.Backend, "instance", instance, "found", found,
		"suspects", len(suspects), "signatures", suspects)
	crashes := []quarantine.Crash{{ID: instance, Suspects: suspects}}
	if p.learn(clock.Now().Time(), crashes, p.process.ID) {
		go p.broadcast(crashes)
	}
}

// incarnation names the incarnation that a call was handed to. Where the back end gives
// itself no name, one that answers again after a crash counts as another.
func (p *plugin) incarnation(call *kernel.Call) string {
	if call.Instance != "" {
		return call.Instance
	}
	return fmt.Sprintf("%s/%d", p.process.ID, p.unnamed.Load())
}

// isLeaving reports whether an incarnation has said that it leaves.
func (p *plugin) isLeaving(instance string) bool {
	if p.process.BackEnd == nil {
		return false
	}
	state := p.process.BackEnd.State()
	return state.ID == instance && state.Leaving
}

// isReplaced reports whether another incarnation stands in the place of the given one.
func (p *plugin) isReplaced(instance string) bool {
	if p.process.BackEnd == nil {
		return false
	}
	present := p.process.BackEnd.State().ID
	return present != "" && present != instance
}

// refuses reports whether nothing listens at an address. A connection that is reset or
// takes too long says nothing: back ends do that when they are full.
func refuses(ctx context.Context, address string) bool {
	conn, err := socket.Dialer{Timeout: dialTimeout}.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close() // nothing was sent on it
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
