package retry

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/policy"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/retry"
	"github.com/loomcleat/loomcleat/retrybudget"
	"github.com/loomcleat/loomcleat/settings"
)

// attempt is the outcome of one attempt: a status or an error.
type attempt struct {
	status int
	err    error
}

func answerWith(status int) attempt { return attempt{status: status} }

func failWith(code result.Code) attempt { return attempt{err: result.New(code, "test")} }

func failAfterRun(code result.Code) attempt {
	return attempt{err: &result.Error{Code: code, Ran: true}}
}

// TestAttempts guards against retries that the outcome of an attempt or the budget does not allow,
// and against an error that is reported as not run although an attempt may have run.
func TestAttempts(t *testing.T) {
	ok := answerWith(200)
	cases := []struct {
		name       string
		repeatable bool
		budget     int
		// Outcomes of the attempts, in order, more than are expected to be made.
		attempts []attempt
		// Number of attempts expected.
		made int
		// Status of the final answer, 0 for an error.
		status int
		// Whether the final error is reported as not run.
		notRun bool
	}{
		{"success", true, 3, []attempt{ok}, 1, 200, false},
		{"refused by one node", false, 3, []attempt{failWith(result.Overloaded), ok}, 2, 200, false},
		{"stopping node", false, 3, []attempt{failWith(result.Draining), ok}, 2, 200, false},
		{"no connection", false, 3, []attempt{failWith(result.NodeRefused), ok}, 2, 200, false},
		{"no budget", true, 0, []attempt{failWith(result.Overloaded), ok}, 1, 0, true},
		{"budget used up", true, 2, []attempt{failWith(result.Overloaded), failWith(result.Overloaded), failWith(result.Overloaded), ok}, 3, 0, true},
		{"shed early", true, 3, []attempt{failWith(result.ShedEarly), ok}, 1, 0, true},
		{"too little time left for one node", true, 3, []attempt{failWith(result.DeadlineTooShort), ok}, 2, 200, false},
		{"lost connection, repeatable", true, 3, []attempt{failWith(result.ConnectionLost), ok}, 2, 200, false},
		{"lost connection, claimed", false, 3, []attempt{failWith(result.ConnectionLost), ok}, 2, 200, false},
		{"outcome of the first run unknown", false, 3, []attempt{failWith(result.AlreadyClaimed), ok}, 1, 0, false},
		{"overloaded back end, repeatable", true, 3, []attempt{answerWith(503), ok}, 2, 200, false},
		{"overloaded back end, not repeatable", false, 3, []attempt{answerWith(503), ok}, 1, 503, false},
		{"back end fails", true, 3, []attempt{answerWith(500), ok}, 1, 500, false},
		{"refused after a lost connection", true, 1, []attempt{failWith(result.ConnectionLost), failWith(result.Overloaded)}, 2, 0, false},
		{"refused after an earlier run", false, 0, []attempt{failAfterRun(result.Overloaded)}, 1, 0, false},
		{"caller cancelled", true, 3, []attempt{failWith(result.CallerCancelled), ok}, 1, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			process := &kernel.Process{Settings: settings.Default(settings.RoleNode), Log: event.Discard()}
			r := &retrier{process: process, limiter: newLimiter(process)}
			made := 0
			handler := r.middleware(kernel.HandlerFunc(func(*kernel.Call) (*kernel.Answer, error) {
				next := c.attempts[made]
				made++
				if next.err != nil {
					return nil, next.err
				}
				return &kernel.Answer{Response: &http.Response{StatusCode: next.status, Body: http.NoBody, Header: http.Header{}}}, nil
			}))
			call := &kernel.Call{
				Context:  context.Background(),
				Body:     kernel.NewBufferedBody(nil),
				Budget:   retrybudget.Open(c.budget),
				Deadline: clock.Now().Add(time.Minute),
				Policy:   policy.Effective{Repeatable: c.repeatable, RetryRatio: 1},
			}
			answer, err := handler.Handle(call)
			is.Equal(made, c.made)
			if c.status != 0 {
				is.NoErr(err)
				is.Equal(answer.StatusCode, c.status)
				return
			}
			var typed *result.Error
			is.True(errors.As(err, &typed))
			is.Equal(typed.NotRun(), c.notRun)
		})
	}
}

// TestCallWithUpstreamWorkWaitsForUnavailableNode guards against failing a call that has upstream work
// while a node restarts. A call without upstream work is refused at once, as when nodes are full.
func TestCallWithUpstreamWorkWaitsForUnavailableNode(t *testing.T) {
	cases := []struct {
		name   string
		hops   int
		left   time.Duration
		code   result.Code
		served bool
	}{
		{"upstream work", 1, time.Minute, result.NodeRefused, true},
		{"no node known", 1, time.Minute, result.NoNode, true},
		{"no upstream work", 0, time.Minute, result.NodeRefused, false},
		{"no time for a pause", 1, retry.UnavailablePause, result.NodeRefused, false},
		{"all nodes full", 1, time.Minute, result.Overloaded, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			process := newSharedProcess()
			r := &retrier{process: process, limiter: newLimiter(process)}
			made := 0
			handler := r.middleware(kernel.HandlerFunc(func(*kernel.Call) (*kernel.Answer, error) {
				made++
				if made <= 2*retry.MaximumOffers {
					return nil, result.New(c.code, "test")
				}
				return &kernel.Answer{Response: &http.Response{StatusCode: http.StatusOK, Body: http.NoBody, Header: http.Header{}}}, nil
			}))
			_, err := handler.Handle(&kernel.Call{
				Context: context.Background(), Body: kernel.NewBufferedBody(nil), Budget: retrybudget.Open(0),
				Deadline: clock.Now().Add(c.left), Hops: c.hops, Policy: policy.Effective{Repeatable: true},
			})
			is.Equal(err == nil, c.served)
			if err != nil {
				is.True(result.From(err).NotRun())
			}
		})
	}
}

// TestNoPauseWithoutSharedBudget guards against rounds of offers beyond the retry budget of the
// user request.
func TestNoPauseWithoutSharedBudget(t *testing.T) {
	is := is.New(t)
	process := &kernel.Process{Settings: settings.Default(settings.RoleNode), Log: event.Discard()}
	r := &retrier{process: process, limiter: newLimiter(process)}
	const budget = 2
	made := 0
	handler := r.middleware(kernel.HandlerFunc(func(*kernel.Call) (*kernel.Answer, error) {
		made++
		return nil, result.New(result.NodeRefused, "test")
	}))
	_, err := handler.Handle(&kernel.Call{
		Context: context.Background(), Body: kernel.NewBufferedBody(nil), Budget: retrybudget.Open(budget),
		Deadline: clock.Now().Add(time.Second), Hops: 1, Policy: policy.Effective{Repeatable: true, RetryRatio: 1},
	})
	is.True(err != nil)
	is.True(made <= 1+budget)
}

// TestPauseDoesNotReplacePaidRetry guards against sending a call again after a pause, free of
// charge, when a back end has refused it and no retry is left.
func TestPauseDoesNotReplacePaidRetry(t *testing.T) {
	is := is.New(t)
	process := newSharedProcess()
	r := &retrier{process: process, limiter: newLimiter(process)}
	codes := []result.Code{result.NodeRefused, result.BackendRefused}
	attempts := 0
	handler := r.middleware(kernel.HandlerFunc(func(*kernel.Call) (*kernel.Answer, error) {
		attempts++
		if attempts <= len(codes) {
			return nil, result.New(codes[attempts-1], "test")
		}
		return newAnswer(http.StatusOK), nil
	}))
	_, err := handler.Handle(&kernel.Call{
		Context: context.Background(), Service: "s", Body: kernel.NewBufferedBody(nil), Budget: retrybudget.Open(0),
		Deadline: clock.Now().Add(time.Minute), Hops: 1, Policy: policy.Effective{Repeatable: true, MaximumAttempts: 1},
	})
	is.Equal(attempts, len(codes))
	is.Equal(result.From(err).Code, result.BackendRefused)
}
