// Package retry repeats attempts of a call within the retry budget of its user
// request and within a share of the calls to its service.
package retry

import (
	"io"
	"net/http"
	"time"

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
		return r.handle(next, call)
	})
}

// handle makes attempts until one is final. Attempts that nodes refuse come in rounds of
// offers, with a pause between two of them.
func (r *retrier) handle(next kernel.Handler, call *kernel.Call) (*kernel.Answer, error) {
	ran := false    // an attempt may have run
	absent := false // a node of this round was not there
	for offers := 1; ; offers++ {
		answer, err := next.Handle(call)
		seen := judge(answer, err)
		ran = ran || (seen != notRun && seen != notRunFinal)
		absent = absent || isAbsent(err)
		switch {
		case r.mayRepeat(call, seen, err, offers):
		case absent && r.mayWait(call, seen):
			kernel.Pause(call.Context, absencePause)
			offers, absent, call.Tried = 0, false, nil
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

// absencePause is the time between two rounds of offers of a call while nodes are not
// there. One that is started again is back within a second, and gossip tells of it
// within some hundred milliseconds.
const absencePause = 50 * time.Millisecond

// isAbsent reports whether a node was not there, or not ready, for a moment: it is
// being started again, or its back end is.
func isAbsent(err error) bool {
	if err == nil {
		return false
	}
	switch result.From(err).Code {
	case result.NodeRefused, result.Draining, result.NotReady, result.BackendLeft, result.BackendUnreachable, result.NoNode:
		return true
	default:
		return false
	}
}

// mayWait reports whether a call that no node has taken may be offered once more after a
// pause: other services have worked for its user request, it has time, and the offer is
// no retry that must be paid for.
func (r *retrier) mayWait(call *kernel.Call, seen outcome) bool {
	notTaken := seen == notRun || seen == notRunFinal
	return notTaken && r.limiter.offersAreFree() && call.Committed() && call.Body.Replayable() && call.Context.Err() == nil &&
		call.Deadline.Left() > absencePause+leastTimeElsewhere
}

// turnedAwayPressure is the pressure of a call that back ends turned away, and for
// which there is no other attempt. It is that of a refusal beside a back end
// (plugin admission): what is admitted for such a service is not finished.
const turnedAwayPressure = 4

func notePressure(call *kernel.Call, err error) {
	if err != nil && result.From(err).Code == result.BackendRefused {
		call.NotePressure(turnedAwayPressure)
	}
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
	case final:
		return false
	case notRunFinal:
		if !tooSlowThere(call, err) {
			return false
		}
		seen = notRun
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

// leastTimeElsewhere is the time that must be left for another node to be tried after
// one whose back end was too slow for the time left. Calls of a few hops need some
// milliseconds on the way alone.
const leastTimeElsewhere = 20 * time.Millisecond

// tooSlowThere reports whether a node refused a call since its back end is too slow for
// the time that is left, which another one may not be.
func tooSlowThere(call *kernel.Call, err error) bool {
	return result.From(err).Code == result.DeadlineTooShort && call.Deadline.Left() > leastTimeElsewhere
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
