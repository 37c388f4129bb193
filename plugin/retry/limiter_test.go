package retry

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/admission"
	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/membership"
	"github.com/loomcleat/loomcleat/policy"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/retrybudget"
	"github.com/loomcleat/loomcleat/settings"
)

// newSharedProcess returns a process that shares one retry budget with the whole mesh and has no
// claims.
func newSharedProcess() *kernel.Process {
	s := settings.Default(settings.RoleNode)
	s.Claims = false
	s.RetryBudget = settings.RetryBudget{Ratio: 0.2, Slack: 55, Window: settings.Duration(10 * time.Second)}
	process := &kernel.Process{Settings: s, Log: event.Discard(), Started: time.Now().Add(-time.Minute)}
	process.Members.Store(&[]membership.Member{})
	return process
}

// TestSharedLimiter guards against charging the budget for retries after refusals by nodes, and
// against retries after refusals by back ends or lost answers that cost nothing.
func TestSharedLimiter(t *testing.T) {
	unreachable, ok := failWith(result.NodeRefused), answerWith(http.StatusOK)
	cases := []struct {
		name       string
		repeatable bool
		budget     int
		attempts   []attempt
		made       int
		// Whether the last attempt is marked as repeated.
		isRetry bool
	}{
		{"refusal by a node costs no budget", false, 0, []attempt{unreachable, failWith(result.Overloaded), ok}, 3, false},
		{"refusals by nodes are bounded", false, 0, []attempt{unreachable, unreachable, unreachable, ok}, 3, false},
		{"refusal by the back end costs budget", true, 1, []attempt{failWith(result.BackendRefused), ok}, 2, true},
		{"refusal by the back end without budget is final", true, 0, []attempt{failWith(result.BackendRefused), ok}, 1, false},
		{"lost connection, repeatable", true, 1, []attempt{failWith(result.ConnectionLost), ok}, 2, true},
		{"lost connection, not repeatable", false, 1, []attempt{failWith(result.ConnectionLost), ok}, 1, false},
		{"no answer in time, not repeatable", false, 1, []attempt{failWith(result.DeadlineExceeded), ok}, 1, false},
		{"answer to another request, not repeatable", false, 1, []attempt{failWith(result.AnswerMismatch), ok}, 1, false},
		{"failed back end, not repeatable", false, 1, []attempt{answerWith(503), ok}, 1, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			process := newSharedProcess()
			r := &retrier{process: process, limiter: newLimiter(process)}
			made, isRetry := 0, false
			handler := r.middleware(kernel.HandlerFunc(func(call *kernel.Call) (*kernel.Answer, error) {
				next := c.attempts[made]
				made++
				isRetry = call.IsRetry
				if next.err != nil {
					return nil, next.err
				}
				return &kernel.Answer{Response: &http.Response{StatusCode: next.status, Body: http.NoBody, Header: http.Header{}}}, nil
			}))
			_, _ = handler.Handle(&kernel.Call{
				Context:  context.Background(),
				Service:  "s",
				Body:     kernel.NewBufferedBody(nil),
				Budget:   retrybudget.Open(c.budget),
				Deadline: clock.Now().Add(time.Minute),
				Policy:   policy.Effective{Repeatable: c.repeatable},
			})
			is.Equal(made, c.made)
			is.Equal(isRetry, c.isRetry)
		})
	}
}

// TestResentAfterArrival guards against an attempt that the back end may have received before and
// that does not say so, and against one that says so although no back end received it.
func TestResentAfterArrival(t *testing.T) {
	ok := answerWith(http.StatusOK)
	for name, c := range map[string]struct {
		attempts []attempt
		want     []bool
	}{
		"refused by nodes":                   {[]attempt{failWith(result.NodeRefused), failWith(result.Overloaded), ok}, []bool{false, false, false}},
		"refused by the back end":            {[]attempt{failWith(result.BackendRefused), ok}, []bool{false, true}},
		"refused by the back end, then node": {[]attempt{failWith(result.BackendRefused), failWith(result.Overloaded), ok}, []bool{false, true, true}},
		"lost connection":                    {[]attempt{failWith(result.ConnectionLost), ok}, []bool{false, true}},
		"answer to another request":          {[]attempt{failWith(result.AnswerMismatch), ok}, []bool{false, true}},
		"failed back end":                    {[]attempt{answerWith(http.StatusServiceUnavailable), ok}, []bool{false, true}},
	} {
		for _, shared := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, shared budget %t", name, shared), func(t *testing.T) {
				is := is.New(t)
				process := newSharedProcess()
				if !shared {
					process.Settings.RetryBudget = settings.RetryBudget{}
				}
				r := &retrier{process: process, limiter: newLimiter(process)}
				resent := []bool{}
				handler := r.middleware(kernel.HandlerFunc(func(call *kernel.Call) (*kernel.Answer, error) {
					next := c.attempts[len(resent)]
					resent = append(resent, call.Resent)
					if next.err != nil {
						return nil, next.err
					}
					return newAnswer(next.status), nil
				}))
				_, err := handler.Handle(&kernel.Call{
					Context: context.Background(), Service: "s", Body: kernel.NewBufferedBody(nil), Budget: retrybudget.Open(8),
					Deadline: clock.Now().Add(time.Minute), Policy: policy.Effective{Repeatable: true, RetryRatio: 1},
				})
				is.NoErr(err)
				is.Equal(resent, c.want)
			})
		}
	}
}

// TestRouteBoundsAttempts guards against a call that makes more attempts than its route allows
// because its user request has retries left.
func TestRouteBoundsAttempts(t *testing.T) {
	is := is.New(t)
	process := newSharedProcess()
	r := &retrier{process: process, limiter: newLimiter(process)}
	made := 0
	handler := r.middleware(kernel.HandlerFunc(func(*kernel.Call) (*kernel.Answer, error) {
		made++
		if made == 1 {
			return nil, result.New(result.Overloaded, "test") // does not count as an attempt of the route
		}
		return newAnswer(http.StatusServiceUnavailable), nil
	}))
	call := &kernel.Call{
		Context: context.Background(), Service: "s", Body: kernel.NewBufferedBody(nil), Budget: retrybudget.Open(8),
		Deadline: clock.Now().Add(time.Minute), Policy: policy.Effective{Repeatable: true, MaximumAttempts: 2},
	}
	_, err := handler.Handle(call)
	is.NoErr(err)
	is.Equal(made, 3)
	is.Equal(call.Budget.Left(), 7)
}

// TestRefusedRetryCostsNothing guards against charging one of the two budgets, shared and user
// request, when the other one refuses the retry.
func TestRefusedRetryCostsNothing(t *testing.T) {
	is := is.New(t)
	l := newLimiter(newSharedProcess())
	for range 100 {
		is.True(!l.takeRetry(&kernel.Call{Service: "s", Budget: retrybudget.Open(0)}))
	}
	spent := 0
	for range 100 {
		call := &kernel.Call{Service: "s", Budget: retrybudget.Open(1), Priority: admission.MaximumPriority}
		if l.takeRetry(call) {
			spent++
		} else {
			is.Equal(call.Budget.Left(), 1)
		}
	}
	is.Equal(spent, 3) // this process's part of a slack of 55 for 16 processes
}

// TestRepeatedCallsUseSharedBudget checks that calls of a repeated execution use up the shared
// budget, although they aren't retries themselves.
func TestRepeatedCallsUseSharedBudget(t *testing.T) {
	is := is.New(t)
	process := newSharedProcess()
	l := newLimiter(process)
	call := &kernel.Call{Service: "s", Budget: retrybudget.Open(1), IsRetry: true}
	for range 10 {
		l.recordCall(call) // ten repeated calls exceed the budget
	}
	is.True(!l.takeRetry(&kernel.Call{Service: "s", Budget: retrybudget.Open(1)}))
	is.True(l.takeRetry(&kernel.Call{Service: "other", Budget: retrybudget.Open(1)}))
}
