package retry

import (
	"io"

	"github.com/loomcleat/loomcleat/admission"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/retry"
)

// retrier makes the attempts of all calls of one process.
type retrier struct {
	process *kernel.Process
	limiter limiter
}

func (r *retrier) middleware(next kernel.Handler) kernel.Handler {
	return kernel.HandlerFunc(func(call *kernel.Call) (*kernel.Answer, error) {
		r.limiter.recordCall(call)
		return r.handle(next, call)
	})
}

// handle makes attempts until the outcome is final. A retry follows at once, or after a pause that
// begins a new round of offers to nodes.
func (r *retrier) handle(next kernel.Handler, call *kernel.Call) (*kernel.Answer, error) {
	situation := retry.Situation{
		Repeatable:      call.Policy.Repeatable,
		Claims:          r.process.Settings.Claims,
		HasUpstreamWork: call.HasUpstreamWork(),
		SharedBudget:    r.limiter.shared(),
		MaximumArrivals: call.Policy.MaximumAttempts,
	}
	mayHaveRun := false
	for {
		answer, err := next.Handle(call)
		recordAttempt(&situation, call, answer, err)
		mayHaveRun = mayHaveRun || err == nil || !situation.Err.NotRun()
		decision := retry.Decide(situation)
		if decision.Arrived {
			situation.Arrivals++
			call.Resent = true
		}
		switch {
		case decision.Send && (!decision.Paid || r.limiter.takeRetry(call)):
		case decision.Pause:
			kernel.Pause(call.Context, retry.UnavailablePause)
			situation.Offers, situation.Unavailable, call.TriedNodes = 0, false, nil
		default:
			recordPressure(call, err)
			return answer, markRan(err, mayHaveRun)
		}
		if answer != nil {
			discard(answer)
		}
		r.process.Counters.Retries.Add(1)
		r.process.LogRetry(call, err)
	}
}

// recordAttempt updates the situation of a call with the outcome of an attempt.
func recordAttempt(s *retry.Situation, call *kernel.Call, answer *kernel.Answer, err error) {
	s.Offers++
	s.Sendable = call.Body.Replayable() && call.Context.Err() == nil
	s.Left = call.Deadline.Left()
	s.Err, s.Status = nil, 0
	if err == nil {
		s.Status = answer.StatusCode
		return
	}
	s.Err = result.From(err)
	s.Unavailable = s.Unavailable || s.Err.Code.Conclusion().Unavailable
}

// recordPressure records pressure for a call whose last attempt the back end refused, or that no
// back end took because of its rate limit.
func recordPressure(call *kernel.Call, err error) {
	if err == nil {
		return
	}
	conclusion := result.From(err).Code.Conclusion()
	if conclusion.RefusedByBackEnd || conclusion.RateLimit {
		call.RecordPressure(admission.RefusedPressure)
	}
}

// markRan marks the error of a call if one of its attempts may have run. The last attempt alone
// might be reported as not run.
func markRan(err error, mayHaveRun bool) error {
	if err == nil || !mayHaveRun {
		return err
	}
	typed := *result.From(err)
	typed.Ran = true
	return &typed
}

// discardLimit bounds how much of an answer is read so that its connection can be reused, in
// bytes.
const discardLimit = 64 << 10

// discard reads the rest of an answer that is not passed on. Errors are ignored: they only
// prevent the connection from being reused.
func discard(answer *kernel.Answer) {
	_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, discardLimit))
	_ = answer.Body.Close()
}
