package kernel

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
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
	at    atomic.Int64 // clock.Instant, 0 until the process stops
	calls callSet
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
func (d *stopDeadline) endCalls() { d.calls.end(errStopping) }

// CallContext returns the context of a call: it ends with its parent, at the deadline, and when a stopping
// process has no more time for the call. Its cause tells which; its Err is always context.Canceled. The
// caller must call finish at the end of the call.
func (p *Process) CallContext(parent context.Context, deadline clock.Instant) (ctx context.Context, finish func()) {
	return p.stopDeadline.contextOf(parent, deadline)
}

// contextOf implements Process.CallContext.
func (d *stopDeadline) contextOf(parent context.Context, deadline clock.Instant) (ctx context.Context, finish func()) {
	ctx, end := context.WithCancelCause(parent)
	timer := time.AfterFunc(deadline.Left(), func() { end(context.DeadlineExceeded) })
	added := d.calls.add(end)
	return ctx, func() {
		d.calls.remove(added)
		timer.Stop()
		end(nil)
	}
}

// callSetShards is the number of parts of a callSet.
const callSetShards = 16

// callSet holds the calls in flight. It has parts with a lock each, so that calls on several processors
// rarely wait for one another.
type callSet struct {
	shards [callSetShards]callSetShard
}

type callSetShard struct {
	mutex sync.Mutex
	calls map[*callInFlight]struct{}
}

// callInFlight is a call in a callSet.
type callInFlight struct {
	shard *callSetShard
	end   context.CancelCauseFunc
}

// add adds a call that end ends.
func (s *callSet) add(end context.CancelCauseFunc) *callInFlight {
	shard := &s.shards[rand.N(callSetShards)]
	added := &callInFlight{shard: shard, end: end}
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	if shard.calls == nil {
		shard.calls = map[*callInFlight]struct{}{}
	}
	shard.calls[added] = struct{}{}
	return added
}

func (s *callSet) remove(added *callInFlight) {
	added.shard.mutex.Lock()
	defer added.shard.mutex.Unlock()
	delete(added.shard.calls, added)
}

// end ends all calls with a cause.
func (s *callSet) end(cause error) {
	for i := range s.shards {
		for _, call := range s.shards[i].list() {
			call.end(cause)
		}
	}
}

// list returns the calls of a shard.
func (s *callSetShard) list() []*callInFlight {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Collect(maps.Keys(s.calls))
}
