package quarantine

import (
	"fmt"
	"time"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/membership"
	"github.com/loomcleat/loomcleat/quarantine"
	"github.com/loomcleat/loomcleat/result"
)

// middleware keeps a request that crashes what runs it from taking all back ends of its
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

// decide says what is to be done with a call. While no request is under suspicion, which
// is nearly always, that costs nothing.
func (p *plugin) decide(call *kernel.Call) (quarantine.Verdict, time.Duration) {
	if !p.watching.Load() {
		return quarantine.Admit, 0
	}
	signature := call.Signature()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.ledger.Decide(clock.Now().Time(), signature, func() bool { return p.makesTrials(signature) })
}

// finished takes note of how a call ended, nil for a whole answer, and returns what its
// caller is told.
func (p *plugin) finished(call *kernel.Call, verdict quarantine.Verdict, err *result.Error) error {
	if verdict == quarantine.Try {
		defer p.tried(call.Signature())
	}
	if err != nil {
		return p.noteLoss(call, err)
	}
	if call.Instance == "" && p.unnamedEnded.CompareAndSwap(true, false) {
		p.unnamed.Add(1)
	}
	if p.watching.Load() {
		p.answered(call.Signature())
	}
	return nil
}

// makesTrials reports whether this process is the one, of the nodes of its service, that
// lets a request through for a trial.
func (p *plugin) makesTrials(signature quarantine.Signature) bool {
	nodes := []string{p.process.ID}
	for _, member := range *p.process.Members.Load() {
		if member.Service == p.process.Settings.Service && member.Status == membership.Alive && !member.Leaving && !member.Down {
			nodes = append(nodes, member.ID)
		}
	}
	return quarantine.TrialNode(signature, nodes) == p.process.ID
}

func (p *plugin) tried(signature quarantine.Signature) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.ledger.Tried(signature)
}

// answered tells all that a back end has answered a request that was under suspicion.
func (p *plugin) answered(signature quarantine.Signature) {
	p.mutex.Lock()
	cleared := p.ledger.Answered(clock.Now().Time(), signature)
	p.publish()
	p.mutex.Unlock()
	if len(cleared) == 0 {
		return
	}
	p.process.Log.Emit(event.SuspicionCleared, "signature", signature, "crashes", len(cleared))
	go p.tell(cleared)
}

// noteLoss remembers a request that was handed to the back end and ended without an
// answer, and returns what its caller is told. A back end that has said that it leaves
// may end with requests in flight.
func (p *plugin) noteLoss(call *kernel.Call, err *result.Error) error {
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
	p.witness.Lost(now, instance, signature)
	if broken {
		p.doubt = doubt{instance: instance, since: now, probed: p.doubt.probed}
	}
	last := p.ledger.MayConvict(signature)
	p.mutex.Unlock()
	if !broken {
		return err
	}
	p.wake()
	if last {
		// One more end is enough for the quarantine: another attempt would take another
		// back end before this one is known to have ended.
		return result.Wrap(result.CrashSuspected, err, "the connection broke, as it did at other back ends that crashed")
	}
	return err
}

func (p *plugin) wake() {
	select {
	case p.doubtful <- struct{}{}:
	default: // the watch is about to look
	}
}

// incarnation names the incarnation that a call was handed to. Where the back end gives
// itself no name, one that answers again after an end is taken for another.
func (p *plugin) incarnation(call *kernel.Call) string {
	if call.Instance != "" {
		return call.Instance
	}
	return fmt.Sprintf("%s/%d", p.process.ID, p.unnamed.Load())
}

// settle forgets the doubt of an incarnation.
func (p *plugin) settle(instance string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.doubt.instance == instance {
		p.doubt = doubt{}
	}
}

// ended takes note that an incarnation has ended while it worked on requests, and tells
// all others.
func (p *plugin) ended(instance, found string) {
	p.settle(instance)
	p.unnamedEnded.Store(true)
	p.mutex.Lock()
	suspects := p.witness.Suspects(instance)
	again := p.lastEnded == instance // more was lost with it than was known at first
	p.lastEnded = instance
	p.noteOwn(instance)
	p.mutex.Unlock()
	if !again {
		p.crashed.Add(1)
	}
	p.process.Log.Emit(event.BackendCrashed, "backend", p.process.Settings.Backend, "instance", instance, "found", found,
		"suspects", len(suspects), "signatures", suspects)
	crashes := []quarantine.Crash{{ID: instance, Suspects: suspects}}
	if p.learn(clock.Now().Time(), crashes, p.process.ID) {
		go p.tell(crashes)
	}
}
