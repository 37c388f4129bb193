package retry

import (
	"io"

	"github.com/loomcleat/loomcleat/admission"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/retry"
)

// retrier makes the attempts of the calls of one process.
type retrier struct {
	process *kernel.Process
	limiter limiter
}

func (r *retrier) middleware(next kernel.Handler) kernel.Handler {
	return kernel.HandlerFunc(func(call *kernel.Call) (*kernel.Answer, error) {
		r.limiter.begin(call)
		return r.handle(next, call)
	})
}

// handle makes attempts until one is final. Attempts that nodes refuse come in rounds of
// offers, with a pause between two of them.
func (r *retrier) handle(next kernel.Handler, call *kernel.Call) (*kernel.Answer, error) {
	situation := retry.Situation{
		Repeatable:      call.Policy.Repeatable,
		Claims:          r.process.Settings.Claims,
		Committed:       call.Committed(),
		SharedBudget:    r.limiter.shared(),
		MaximumArrivals: call.Policy.MaximumAttempts,
	}
	ran := false // an attempt may have run
	for {
		answer, err := next.Handle(call)
		note(&situation, call, answer, err)
		ran = ran || err == nil || !situation.Err.NotRun()
		decision := retry.Decide(situation)
		if decision.Arrived {
			situation.Arrivals++
		}
		switch {
		case decision.Send && (!decision.Paid || r.limiter.pay(call)):
		case decision.Pause:
			kernel.Pause(call.Context, retry.AbsencePause)
			situation.Offers, situation.Absent, call.Tried = 0, false, nil
		default:
			notePressure(call, err)
			return answer, withRan(err, ran)
		}
		if answer != nil {
			discard(answer)
		}
		r.process.Counters.Retries.Add(1)
		r.process.LogRepeat(call, err)
	}
}

// note takes the end of an attempt.
func note(s *retry.Situation, call *kernel.Call, answer *kernel.Answer, err error) {
	s.Offers++
	s.Sendable = call.Body.Replayable() && call.Context.Err() == nil
	s.Left = call.Deadline.Left()
	s.Err, s.Status = nil, 0
	if err == nil {
		s.Status = answer.StatusCode
		return
	}
	s.Err = result.From(err)
	s.Absent = s.Absent || s.Err.Code.Conclusion().Absent
}

// notePressure records that the back end turned the call away, with no attempt left.
func notePressure(call *kernel.Call, err error) {
	if err != nil && result.From(err).Code.Conclusion().ByBackEnd {
		call.NotePressure(admission.RefusedPressure)
	}
}

// withRan marks the error of a request of which an attempt may have run, so
// that it is not reported as not run.
func withRan(err error, ran bool) error {
	if err == nil || !ran {
		return err
	}
	typed := *result.From(err)
	typed.Ran = true
	return &typed
}

// discardLimit is how much of an answer is read so that its connection can be
// used again, in bytes.
const discardLimit = 64 << 10

// discard reads the rest of an answer that is not passed on. An error only costs the
// connection, which is then closed.
func discard(answer *kernel.Answer) {
	_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, discardLimit))
	_ = answer.Body.Close()
}
