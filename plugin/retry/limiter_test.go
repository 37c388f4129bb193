package retry

import (
	"context"
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

// sharedProcess bounds repeated attempts over the whole mesh and has no claims.
func sharedProcess() *kernel.Process {
	s := settings.Default(settings.RoleNode)
	s.Claims = false
	s.RetryBudget = settings.RetryBudget{Ratio: 0.2, Slack: 55, Window: settings.Duration(10 * time.Second)}
	process := &kernel.Process{Settings: s, Log: event.Discard(), Started: time.Now().Add(-time.Minute)}
	process.Members.Store(&[]membership.Member{})
	return process
}

func TestSharedLimiter(t *testing.T) {
	unreachable, ok := failWith(result.NodeRefused), answerWith(http.StatusOK)
	cases := []struct {
		name       string
		repeatable bool
		budget     int
		attempts   []attempt
		made       int
		repeat     bool // of the last attempt
	}{
		{"refusals beside a back end cost no budget", false, 0, []attempt{unreachable, failWith(result.Overloaded), ok}, 3, false},
		{"but they are bounded", false, 0, []attempt{unreachable, unreachable, unreachable, ok}, 3, false},
		{"what arrived at a back end costs budget", true, 1, []attempt{failWith(result.BackendRefused), ok}, 2, true},
		{"and is final without it", true, 0, []attempt{failWith(result.BackendRefused), ok}, 1, false},
		{"a lost connection, repeatable", true, 1, []attempt{failWith(result.ConnectionLost), ok}, 2, true},
		{"a lost connection, not repeatable", false, 1, []attempt{failWith(result.ConnectionLost), ok}, 1, false},
		{"no answer in time, not repeatable", false, 1, []attempt{failWith(result.DeadlineExceeded), ok}, 1, false},
		{"another answer, not repeatable", false, 1, []attempt{failWith(result.AnswerMismatch), ok}, 1, false},
		{"a back end that failed, not repeatable", false, 1, []attempt{answerWith(503), ok}, 1, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			process := sharedProcess()
			r := &retrier{process: process, limiter: newLimiter(process)}
			made, repeat := 0, false
			handler := r.middleware(kernel.HandlerFunc(func(call *kernel.Call) (*kernel.Answer, error) {
				next := c.attempts[made]
				made++
				repeat = call.Repeat
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
			is.Equal(repeat, c.repeat)
		})
	}
}

// TestAttemptsOfACallAreBoundedByItsRoute whatever budget is left: the budget is
// that of the whole user request, the attempts are those of one call.
func TestAttemptsOfACallAreBoundedByItsRoute(t *testing.T) {
	is := is.New(t)
	process := sharedProcess()
	r := &retrier{process: process, limiter: newLimiter(process)}
	made := 0
	handler := r.middleware(kernel.HandlerFunc(func(*kernel.Call) (*kernel.Answer, error) {
		made++
		if made == 1 {
			return nil, result.New(result.Overloaded, "test") // it did not arrive
		}
		return answered(http.StatusServiceUnavailable), nil
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

// TestTheCommonBudgetIsNotSpentOnNothing: a call whose user request has no retries
// left takes none from the others, and one that the others leave none keeps its own.
func TestTheCommonBudgetIsNotSpentOnNothing(t *testing.T) {
	is := is.New(t)
	l := newLimiter(sharedProcess())
	for range 100 {
		is.True(!l.pay(&kernel.Call{Service: "s", Budget: retrybudget.Open(0)}))
	}
	spent := 0
	for range 100 {
		call := &kernel.Call{Service: "s", Budget: retrybudget.Open(1), Priority: admission.MaximumPriority}
		if l.pay(call) {
			spent++
		} else {
			is.Equal(call.Budget.Left(), 1)
		}
	}
	is.Equal(spent, 3) // 55 for 16 processes
}

// TestCallsOfRepeatedRunsCount: what a repeated run calls again is paid by the
// same budget, without being asked for.
func TestCallsOfRepeatedRunsCount(t *testing.T) {
	is := is.New(t)
	process := sharedProcess()
	l := newLimiter(process)
	call := &kernel.Call{Service: "s", Budget: retrybudget.Open(1), Repeat: true}
	for range 10 {
		l.begin(call) // ten repeated arrivals, more than the budget has
	}
	is.True(!l.pay(&kernel.Call{Service: "s", Budget: retrybudget.Open(1)}))
	is.True(l.pay(&kernel.Call{Service: "other", Budget: retrybudget.Open(1)}))
}
