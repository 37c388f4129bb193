package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/ratelimit"
)

// newLimitedController returns a controller whose back end has declared a rate limit at epoch.
func newLimitedController(slots int, limit ratelimit.Rate) *testController {
	limiter := &ratelimit.Limiter{}
	limiter.Observe(ratelimit.Declaration{SentAt: epoch.Add(-time.Second), ReceivedAt: epoch, Limit: &limit})
	return &testController{
		Controller: NewController(epoch, Config{MinimumLimit: slots, MaximumLimit: slots, QueueTime: 50 * ms, RateLimit: limiter}),
		tickets:    map[string]*Ticket{},
	}
}

// TestRateLimitedRequestsAreStartedByPriority guards against requests that are started beyond the
// rate limit, and against refusing an important request while a less important one waits.
func TestRateLimitedRequestsAreStartedByPriority(t *testing.T) {
	is := is.New(t)
	tc := newLimitedController(10, 20) // one request in 50 ms, so that one may wait
	tc.submit(10*ms, "bulk", 10, time.Second)
	tc.submit(20*ms, "critical", 1000, time.Second)
	tc.submit(30*ms, "default", 400, time.Second)
	is.Equal(tc.verdicts, []string{"bulk limited", "default limited"})
	is.True(tc.tickets["default"].AwaitedRate())
	tc.Advance(epoch.Add(49 * ms))
	is.Equal(len(tc.verdicts), 2)
	is.True(tc.RateWait(epoch.Add(49*ms)) > 0)
	tc.Advance(epoch.Add(51 * ms))
	is.Equal(tc.verdicts[2], "critical in")
	is.Equal(tc.RateWait(epoch.Add(51*ms)), time.Duration(0)) // nothing waits
}

// TestQueuedRequestsAreRateLimited guards against requests that were queued before the limit was
// declared and are then all sent.
func TestQueuedRequestsAreRateLimited(t *testing.T) {
	is := is.New(t)
	limiter := &ratelimit.Limiter{}
	tc := &testController{
		Controller: NewController(epoch, Config{MinimumLimit: 4, MaximumLimit: 4, QueueTime: time.Minute, RateLimit: limiter}),
		tickets:    map[string]*Ticket{},
	}
	for range 12 {
		tc.submit(0, "r", 100, time.Hour)
	}
	is.Equal(len(tc.verdicts), 4) // the others wait for slots
	limit := ratelimit.Rate(2)
	limiter.Observe(ratelimit.Declaration{SentAt: epoch, ReceivedAt: epoch.Add(ms), Limit: &limit})
	for at := time.Duration(2); at < 4000; at += 10 {
		tc.done(at*ms, ms)
		tc.Advance(epoch.Add(at * ms))
	}
	is.True(len(tc.verdicts) >= 4+7 && len(tc.verdicts) <= 4+8)
}

// TestRateLimitDoesNotRaiseLevel guards against refusing requests, here and upstream, for lack of
// slots that are free.
func TestRateLimitDoesNotRaiseLevel(t *testing.T) {
	is := is.New(t)
	tc := newLimitedController(10, 2)
	for i := range 2000 {
		tc.submit(time.Duration(i)*ms, "r", 1000*i/2000, time.Second)
	}
	state := tc.State(epoch.Add(2 * time.Second))
	is.Equal(state.Level, 0)
	is.True(state.InFlight <= 5)
}

// TestRateRetryAfter guards against callers that come back before the back end has room for them.
func TestRateRetryAfter(t *testing.T) {
	is := is.New(t)
	tc := newLimitedController(10, 4)
	is.True(tc.RateRetryAfter(epoch) >= 250*ms)
	tc.submit(0, "waits", 100, time.Second)
	wait := tc.RateRetryAfter(epoch)
	is.True(wait >= 500*ms && wait <= 501*ms)
}
