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

// progress is what the attempts of a call have come to.
type progress struct {
	offers   int  // attempts of this round
	absent   bool // a node of this round was absent
	arrivals int  // attempts that may have arrived at a back end
	ran      bool // an attempt may have run
}

// handle makes attempts until one is final. Attempts that nodes refuse come in rounds of
// offers, with a pause between two of them.
func (r *retrier) handle(next kernel.Handler, call *kernel.Call) (*kernel.Answer, error) {
	made := progress{}
	for {
		answer, err := next.Handle(call)
		made.note(err)
		decision := retry.Decide(r.situation(call, &made, answer, err))
		if decision.Arrived {
			made.arrivals++
		}
		switch {
		case decision.Send && (!decision.Paid || r.limiter.pay(call)):
		case decision.Pause:
			kernel.Pause(call.Context, retry.AbsencePause)
			made.offers, made.absent, call.Tried = 0, false, nil
		default:
			notePressure(call, err)
			return answer, withRan(err, made.ran)
		}
		if answer != nil {
			discard(answer)
		}
		r.process.Counters.Retries.Add(1)
		r.process.LogRepeat(call, err)
	}
}

// note takes the end of an attempt.
func (p *progress) note(err error) {
	p.offers++
	if err == nil {
		p.ran = true
		return
	}
	typed := result.From(err)
	p.ran = p.ran || !typed.NotRun()
	p.absent = p.absent || typed.Code.Conclusion().Absent
}

// situation gathers what the decision depends on.
func (r *retrier) situation(call *kernel.Call, made *progress, answer *kernel.Answer, err error) retry.Situation {
	s := retry.Situation{
		Repeatable:      call.Policy.Repeatable,
		Claims:          r.process.Settings.Claims,
		Committed:       call.Committed(),
		Sendable:        call.Body.Replayable() && call.Context.Err() == nil,
		Left:            call.Deadline.Left(),
		SharedBudget:    r.limiter.shared(),
		Offers:          made.offers,
		Absent:          made.absent,
		Arrivals:        made.arrivals,
		MaximumArrivals: call.Policy.MaximumAttempts,
	}
	if err != nil {
		s.Err = result.From(err)
	} else {
		s.Status = answer.StatusCode
	}
	return s
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
