package quarantine

import (
	"time"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/membership"
	"github.com/loomcleat/loomcleat/quarantine"
	"github.com/loomcleat/loomcleat/result"
)

// middleware refuses a request that has crashed several back ends. Otherwise retries, by a
// process or by the caller, would crash all back ends of the service together with the other
// requests in flight there. It is the last middleware before the back end, so that crashes
// reported while a request waited in a queue count.
func (p *plugin) middleware(next kernel.Handler) kernel.Handler {
	return kernel.HandlerFunc(func(call *kernel.Call) (*kernel.Answer, error) {
		verdict, left := p.decide(call)
		if verdict == quarantine.Refuse {
			return nil, result.New(result.RequestQuarantined, "back ends crashed under this request").WithRetryAfter(left)
		}
		answer, err := next.Handle(call)
		if err != nil {
			return nil, p.recordOutcome(call, verdict, result.From(err))
		}
		answer.Body = &answerBody{ReadCloser: answer.Body, plugin: p, call: call, verdict: verdict}
		return answer, nil
	})
}

// decide returns the verdict on a call and, for a refused one, the time until the next trial.
// While no request is suspected, it takes no lock and computes no signature.
func (p *plugin) decide(call *kernel.Call) (quarantine.Verdict, time.Duration) {
	if !p.hasSuspects.Load() {
		return quarantine.Admit, 0
	}
	signature := call.Signature()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.ledger.Decide(clock.Now().Time(), signature, func() bool { return p.runsTrials(signature) })
}

// runsTrials reports whether this process is the node of its service that admits a
// quarantined request as a trial.
func (p *plugin) runsTrials(signature quarantine.Signature) bool {
	nodes := []string{p.process.ID}
	for _, member := range *p.process.Members.Load() {
		if member.Service == p.process.Settings.Service && member.Status == membership.Alive && !member.Leaving && !member.Down {
			nodes = append(nodes, member.ID)
		}
	}
	return quarantine.TrialNode(signature, nodes) == p.process.ID
}

// recordOutcome records the outcome of a call, nil for a complete answer, and returns the error
// for its caller.
func (p *plugin) recordOutcome(call *kernel.Call, verdict quarantine.Verdict, err *result.Error) error {
	if verdict == quarantine.Trial {
		defer p.endTrial(call.Signature())
	}
	if err != nil {
		return p.recordFailure(call, err)
	}
	if call.Incarnation == "" && p.unnamedCrashed.CompareAndSwap(true, false) {
		p.unnamedIncarnation.Add(1)
	}
	if p.hasSuspects.Load() {
		p.clearSuspicion(call.Signature())
	}
	return nil
}

func (p *plugin) endTrial(signature quarantine.Signature) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.ledger.EndTrial(signature)
}

// recordFailure records a request that was sent to the back end and got no complete answer, and
// returns the error for its caller. If the connection broke, or was closed because of an invalid
// answer, it starts a crash check. A back end that has announced that it leaves is ignored,
// since it may stop with requests in flight.
func (p *plugin) recordFailure(call *kernel.Call, err *result.Error) error {
	switch err.Code {
	case result.ConnectionLost, result.AnswerInvalid, result.CallerCancelled, result.DeadlineExceeded:
	default:
		return err
	}
	if p.process.BackEnd != nil && p.process.BackEnd.State().Leaving {
		return err
	}
	signature := call.Signature()
	now := clock.Now().Time()
	connectionBroken := err.Code == result.ConnectionLost || err.Code == result.AnswerInvalid
	p.mutex.Lock()
	incarnation := p.incarnation(call)
	p.unanswered.Add(now, incarnation, signature)
	if connectionBroken {
		p.check = crashCheck{incarnation: incarnation, since: now, dialed: p.check.dialed}
	}
	nextQuarantines := p.ledger.QuarantinedByNextCrash(signature)
	p.mutex.Unlock()
	if !connectionBroken {
		return err
	}
	p.requestCheck()
	if nextQuarantines {
		// The next crash completes the quarantine. An error that allows a retry could crash
		// another back end before this crash is detected.
		return result.Wrap(result.CrashSuspected, err, "the connection broke, as it did at other back ends that crashed")
	}
	return err
}
