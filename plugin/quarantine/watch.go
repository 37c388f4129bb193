package quarantine

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/transport/socket"
)

// Bounds of the look at a back end that has lost a request.
const (
	// settleTime is waited for after a lost request, so that the others that were lost in
	// the same end are known.
	settleTime = 3 * time.Millisecond
	// lookInterval is the time between two looks.
	lookInterval = 100 * time.Millisecond
	// probePause is the least time between two connections that are opened only to see
	// whether the back end is there: each may hold one of its slots for a moment.
	probePause = 50 * time.Millisecond
	// probeTimeout bounds the opening of such a connection. The back end is on the same
	// machine, which refuses at once when nothing listens.
	probeTimeout = 500 * time.Millisecond
	// doubtTime is how long a lost request leaves a doubt. A back end that has ended is
	// back, as another incarnation, within some seconds.
	doubtTime = 10 * time.Second
)

// doubt is what is not known yet of a back end that has lost a request.
type doubt struct {
	instance string
	since    time.Time // of the last lost request
	probed   time.Time // when a connection was last opened
	probes   int       // since then
}

// probesPerLoss is the number of connections that are opened after a lost request. The
// second one is for a back end whose machine still accepted the first.
const probesPerLoss = 2

// watch finds out whether the back end has ended, each time a request was lost.
func (p *plugin) watch(ctx context.Context) {
	var looks <-chan time.Time // only while there is a doubt
	ticker := time.NewTicker(lookInterval)
	defer ticker.Stop()
	ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.doubtful:
			kernel.Pause(ctx, settleTime)
		case <-looks:
		}
		if p.look(ctx, clock.Now().Time()) {
			ticker.Reset(lookInterval)
			looks = ticker.C
		} else {
			ticker.Stop()
			looks = nil
		}
	}
}

// look reports whether a doubt is left.
func (p *plugin) look(ctx context.Context, now time.Time) bool {
	p.mutex.Lock()
	open := p.doubt
	probe := open.instance != "" && open.probes < probesPerLoss && now.Sub(open.probed) >= probePause
	if probe {
		p.doubt.probes++
		p.doubt.probed = now
	}
	p.mutex.Unlock()
	switch {
	case open.instance == "":
		return false
	case p.isLeaving(open.instance):
		p.settle(open.instance) // its end is planned
		return false
	case p.replaced(open.instance):
		p.ended(open.instance, "replaced")
		return false
	case probe && refuses(ctx, p.process.Settings.Backend):
		p.ended(open.instance, "refuses-connections")
		return false
	case now.Sub(open.since) > doubtTime:
		p.settle(open.instance)
		return false
	default:
		return true
	}
}

// isLeaving reports whether an incarnation has said that it leaves.
func (p *plugin) isLeaving(instance string) bool {
	if p.process.BackEnd == nil {
		return false
	}
	state := p.process.BackEnd.State()
	return state.ID == instance && state.Leaving
}

// replaced reports whether another incarnation stands in the place of the given one.
func (p *plugin) replaced(instance string) bool {
	if p.process.BackEnd == nil {
		return false
	}
	present := p.process.BackEnd.State().ID
	return present != "" && present != instance
}

// refuses reports whether nothing listens at an address. A connection that is reset or
// takes too long says nothing: back ends do that when they are full.
func refuses(ctx context.Context, address string) bool {
	conn, err := socket.Dialer{Timeout: probeTimeout}.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
