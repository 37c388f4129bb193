package kernel

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/loomcleat/loomcleat/clock"
)

// errStopping is the cause with which the contexts of calls end when the process has no more time
// for them.
var errStopping = errors.New("the process is stopping")

// stopDeadline is the time at which a stopping process ends the calls in flight, so that it can still
// answer them. Calls that begin while it stops have no later deadline.
type stopDeadline struct {
	at      atomic.Int64 // clock.Instant, 0 until the process stops
	context context.Context
	end     context.CancelCauseFunc
}

func newStopDeadline() stopDeadline {
	ctx, end := context.WithCancelCause(context.Background())
	return stopDeadline{context: ctx, end: end}
}

// set begins the stop. Calls end after the given time.
func (d *stopDeadline) set(after time.Duration) { d.at.Store(int64(clock.Now().Add(after))) }

// limit returns the deadline of a call that begins now.
func (d *stopDeadline) limit(deadline clock.Instant) clock.Instant {
	if at := d.at.Load(); at != 0 {
		return min(deadline, clock.Instant(at))
	}
	return deadline
}

// left returns the time until the calls end. It must be called after set.
func (d *stopDeadline) left() time.Duration { return clock.Instant(d.at.Load()).Left() }

// endCalls ends the calls in flight.
func (d *stopDeadline) endCalls() { d.end(errStopping) }

// contextOf returns the context of a call: it ends with its parent, at the deadline, and with endCalls.
func (d *stopDeadline) contextOf(parent context.Context, deadline clock.Instant) (context.Context, context.CancelFunc) {
	ended, end := context.WithCancelCause(parent)
	unregister := context.AfterFunc(d.context, func() { end(errStopping) })
	ctx, cancel := context.WithTimeout(ended, deadline.Left())
	return ctx, func() {
		unregister()
		cancel()
		end(nil)
	}
}
