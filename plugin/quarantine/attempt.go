package quarantine

import (
	"time"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/membership"
	"github.com/loomcleat/loomcleat/quarantine"
	"github.com/loomcleat/loomcleat/result"
)

// middleware keeps a request that crashes what runs it from taking down all back ends of its
// service, again and again, with all the other requests that these work on: neither the
// process that repeats an attempt nor the caller that tries again can know. It stands right
// before the back end, so that what became known while a request waited counts.
func (p *plugin) middleware(next kernel.Handler) kernel.Handler {
	return kernel.HandlerFunc(func(call *kernel.Call) (*kernel.Answer, error) {
		verdict, left := p.decide(call)
		if verdict == quarantine.Refuse {
			return nil, result.New(result.RequestQuarantined, "back ends crashed under this request").WithRetryAfter(left)
		}
		answer, err := next.Handle(call)
		if err != nil {
			return nil, p.finished(call, verdict, result.From(err))
		}
		answer.Body = &answerBody{ReadCloser: answer.Body, plugin: p, call: call, verdict: verdict}
		return answer, nil
	})
}

// decide says what is to be done with a call. While no request is suspected, which is nearly
// always, that costs nothing.
func (p *plugin) decide(call *kernel.Call) (quarantine.Verdict, time.Duration) {
	if !p.hasSuspects.Load() {
		return quarantine.Admit, 0
	}
	signature := call.Signature()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.ledger.Decide(clock.Now().Time(), signature, func() bool { return p.runsTrials(signature) })
}

// runsTrials reports whether this process is the one, of the nodes of its service, that
// lets a quarantined request through for a trial.
func (p *plugin) runsTrials(signature quarantine.Signature) bool {
	nodes := []string{p.process.ID}
	for _, member := range *p.process.Members.Load() {
		if member.Service == p.process.Settings.Service && member.Status == membership.Alive && !member.Leaving && !member.Down {
			nodes = append(nodes, member.ID)
		}
	}
	return quarantine.TrialNode(signature, nodes) == p.process.ID
}

// finished takes note of how a call ended, nil for a whole answer, and returns what its
// caller is told.
func (p *plugin) finished(call *kernel.Call, verdict quarantine.Verdict, err *result.Error) error {
	if verdict == quarantine.Trial {
		defer p.endTrial(call.Signature())
	}
	if err != nil {
		return p.recordLoss(call, err)
	}
	if call.Instance == "" && p.unnamedCrashed.CompareAndSwap(true, false) {
		p.unnamed.Add(1)
	}
	if p.hasSuspects.Load() {
		p.answered(call.Signature())
	}
	return nil
}

func (p *plugin) endTrial(signature quarantine.Signature) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.ledger.EndTrial(signature)
}

// recordLoss remembers a request that was handed to the back end and ended without an
// answer, has the back end checked when the connection broke, and returns what the caller is
// told. A back end that has said that it leaves may end with requests in flight.
func (p *plugin) recordLoss(call *kernel.Call, err *result.Error) error {
	switch err.Code {
	case result.ConnectionLost, result.CallerCancelled, result.DeadlineExceeded:
	default:
		return err
	}
	if p.process.BackEnd != nil && p.process.BackEnd.State().Leaving {
		return err
	}
	signature := call.Signature()
	now := clock.Now().Time()
	broken := err.Code == result.ConnectionLost
	p.mutex.Lock()
	instance := p.incarnation(call)
	p.lost.Add(now, instance, signature)
	if broken {
		p.check = crashCheck{instance: instance, since: now, dialed: p.check.dialed}
	}
	oneMore := p.ledger.QuarantinedByNextCrash(signature)
	p.mutex.Unlock()
	if !broken {
		return err
	}
	p.requestCheck()
	if oneMore {
		// One more crash is enough for the quarantine: another attempt would crash another
		// back end before this one is known to have crashed.
		return result.Wrap(result.CrashSuspected, err, "the connection broke, as it did at other back ends that crashed")
	}
	return err
}
