package kernel

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/result"
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

// Unsent returns the error of a call that had not been sent when its context ended. what is what it was
// waiting for, cause the error that it got, if any.
func (c *Call) Unsent(what string, cause error) *result.Error {
	return unsentError(c.Context, what, cause)
}

func unsentError(ctx context.Context, what string, cause error) *result.Error {
	switch ended := context.Cause(ctx); {
	case errors.Is(ended, context.DeadlineExceeded):
		return result.Wrap(result.DeadlineTooShort, cause, "the deadline passed while waiting for %s", what)
	case errors.Is(ended, errStopping):
		return result.Wrap(result.Draining, cause, "the process stopped while the request waited for %s", what).WithUsualRetryAfter()
	default:
		return result.Wrap(result.CallerGone, cause, "the caller went away while waiting for %s", what)
	}
}

// unansweredError returns the error of a call that had been sent when its context ended.
func unansweredError(ctx context.Context, cause error) *result.Error {
	switch ended := context.Cause(ctx); {
	case errors.Is(ended, context.DeadlineExceeded):
		return result.Wrap(result.DeadlineExceeded, cause, "no answer within the time left")
	case errors.Is(ended, errStopping):
		return result.Wrap(result.Stopped, cause, "the process stopped while the request was in flight")
	default:
		return result.Wrap(result.CallerCancelled, cause, "the caller went away while the request was in flight")
	}
}
