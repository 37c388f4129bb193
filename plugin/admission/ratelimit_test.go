package admission

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/admission"
	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/instance"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/policy"
	"github.com/loomcleat/loomcleat/ratelimit"
	"github.com/loomcleat/loomcleat/result"
)

// newAdmitter returns an admitter with free slots and a rate limit, 0 for none.
func newAdmitter(limit ratelimit.Rate) *admitter {
	limiter := &ratelimit.Limiter{}
	if now := time.Now(); limit > 0 {
		limiter.Observe(ratelimit.Declaration{SentAt: now, ReceivedAt: now, Limit: &limit})
	}
	return &admitter{
		process:    &kernel.Process{Log: event.Discard(), RateLimit: limiter},
		controller: admission.NewController(time.Now(), admission.Config{MinimumLimit: 8, MaximumLimit: 8, RateLimit: limiter}),
	}
}

// newCall returns a call. One with hops has upstream work, so that it may wait until its deadline.
func newCall(t *testing.T, hops int, timeout time.Duration) *kernel.Call {
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	t.Cleanup(cancel)
	return &kernel.Call{
		Context:   ctx,
		Deadline:  clock.Now().Add(timeout),
		Hops:      hops,
		Execution: &kernel.Execution{},
		Policy:    policy.Effective{ConcurrencyMin: 8, ConcurrencyMax: 8, QueueTime: 50 * time.Millisecond},
	}
}

// serve passes a call through the admitter to a back end that answers at once.
func serve(a *admitter, call *kernel.Call) error {
	next := kernel.HandlerFunc(func(*kernel.Call) (*kernel.Answer, error) {
		return &kernel.Answer{Response: &http.Response{StatusCode: http.StatusOK, Body: http.NoBody}}, nil
	})
	answer, err := a.middleware(next).Handle(call)
	if err == nil {
		_ = answer.Body.Close()
	}
	return err
}

// TestWaitingCallIsStartedWhenTheLimitHasRoom guards against a call that waits for the rate limit
// until its deadline because no other call comes that would start it.
func TestWaitingCallIsStartedWhenTheLimitHasRoom(t *testing.T) {
	is := is.New(t)
	is.NoErr(serve(newAdmitter(10), newCall(t, 1, 10*time.Second)))
}

// TestRateLimitIsNoPressure guards against refusing requests where they enter the mesh while other
// back ends of the service have room.
func TestRateLimitIsNoPressure(t *testing.T) {
	is := is.New(t)
	a := newAdmitter(0.5)
	waits := newCall(t, 1, 10*time.Second)
	ended := make(chan error, 1)
	go func() { ended <- serve(a, waits) }()
	for a.controller.State(time.Now()).Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	refused := newCall(t, 0, 10*time.Second)
	err := result.From(serve(a, refused))
	is.Equal(err.Code, result.RateLimited)
	is.True(err.NotRun())
	is.True(err.RetryAfter > time.Second) // behind the call that waits
	is.Equal(refused.Execution.Pressure(), 0.0)
	is.NoErr(<-ended)
	is.Equal(waits.Execution.Pressure(), 0.0)
}

// TestCallerRecallsRateLimit guards against a restarted node that floods its back end before it has
// got an answer.
func TestCallerRecallsRateLimit(t *testing.T) {
	is := is.New(t)
	a := newAdmitter(0)
	a.process.RateLimit.Begin("i-1")
	limit := ratelimit.Rate(0.1)
	call := newCall(t, 0, 10*time.Second)
	call.Declared = instance.Declared{Incarnation: "i-1", Limit: &limit}
	is.Equal(result.From(serve(a, call)).Code, result.RateLimited)
	is.Equal(result.From(serve(a, newCall(t, 0, 10*time.Second))).Code, result.RateLimited)
}
