// Package retry repeats attempts of a call within the retry budget of its user
// request and within a share of the calls to its service.
package retry

import (
	"io"
	"net/http"

	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/result"
)

const name = "retry"

func init() { kernel.Register(name, kernel.StageTraffic, setup) }

func setup(process *kernel.Process) error {
	r := &retrier{process: process, limiter: newLimiter(process)}
	process.UseOutbound(name, r.middleware)
	return nil
}

// retrier repeats the calls of one process.
type retrier struct {
	process *kernel.Process
	limiter limiter
}

func (r *retrier) middleware(next kernel.Handler) kernel.Handler {
	return kernel.HandlerFunc(func(call *kernel.Call) (*kernel.Answer, error) {
		r.limiter.begin(call)
		ran := false // an attempt may have run
		for offers := 1; ; offers++ {
			answer, err := next.Handle(call)
			outcome := judge(answer, err)
			ran = ran || (outcome != notRun && outcome != notRunFinal)
			if !r.mayRepeat(call, outcome, err, offers) {
				return answer, withRan(err, ran)
			}
			if answer != nil {
				discard(answer)
			}
			r.process.Counters.Retries.Add(1)
			r.process.LogRepeat(call, err)
		}
	})
}

// outcome is what an attempt tells about the next one.
type outcome int

const (
	final       outcome = iota // an answer, or an error that will not change
	notRun                     // refused; nothing ran; another node may take it
	notRunFinal                // refused; nothing ran; another attempt would not help
	unclear                    // it may have run, and may work the next time
)

// judge classifies the end of an attempt.
func judge(answer *kernel.Answer, err error) outcome {
	if err == nil {
		switch answer.StatusCode {
		case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
			return unclear
		default:
			return final
		}
	}
	typed := result.From(err)
	switch typed.Code {
	case result.Overloaded, result.BackendRefused, result.BackendLeft, result.Draining, result.BackendUnreachable, result.NodeRefused, result.NotReady, result.ClaimUnavailable:
		if typed.NotRun() {
			return notRun
		}
		return unclear
	case result.ConnectionLost, result.AnswerMismatch, result.DeadlineExceeded:
		return unclear
	default:
		if typed.NotRun() {
			return notRunFinal
		}
		return final
	}
}

// mayRepeat decides whether there is another attempt, and pays for it.
//
// A request that may not be repeated is sent again only when its attempt did
// not run, or, with claims, when the error came from the way there: the claim on
// its key then makes sure that the next attempt gets the answer of the first and
// does not run it again. An answer of the back end itself is final for it.
func (r *retrier) mayRepeat(call *kernel.Call, seen outcome, err error, offers int) bool {
	switch seen {
	case final, notRunFinal:
		return false
	case unclear:
		if !call.Policy.Repeatable && (err == nil || !r.process.Settings.Claims) {
			return false
		}
	}
	if !call.Body.Replayable() || call.Context.Err() != nil {
		return false
	}
	return r.limiter.repeat(call, seen, err, offers)
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

func discard(answer *kernel.Answer) {
	_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, discardLimit))
	_ = answer.Body.Close()
}
