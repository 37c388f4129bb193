// Package quarantine notices when the back end beside the node ends while it works on
// requests, and names them. The decisions are made by package quarantine at the root.
package quarantine

import (
	"fmt"
	"sync"
	"time"

	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/quarantine"
	"github.com/loomcleat/loomcleat/result"
)

const name = "quarantine"

func init() { kernel.Register(name, kernel.StageTraffic, setup) }

func setup(process *kernel.Process) error {
	if !process.IsNode() {
		return nil
	}
	p := &plugin{process: process, doubtful: make(chan struct{}, 1)}
	process.UseInbound(name, p.middleware)
	process.OnStart(p.watch)
	return nil
}

// plugin stands beside the back end of one node.
type plugin struct {
	process  *kernel.Process
	doubtful chan struct{} // wakes the watch

	mutex   sync.Mutex
	witness quarantine.Witness
	doubt   doubt
	crashes int // of back ends without a name of their own
}

func (p *plugin) middleware(next kernel.Handler) kernel.Handler {
	return kernel.HandlerFunc(func(call *kernel.Call) (*kernel.Answer, error) {
		answer, err := next.Handle(call)
		if err != nil {
			p.noteLoss(call, result.From(err).Code)
		}
		return answer, err
	})
}

// noteLoss remembers a request that was handed to the back end and ended without an
// answer. A back end that has said that it leaves may end with requests in flight.
func (p *plugin) noteLoss(call *kernel.Call, code result.Code) {
	switch code {
	case result.ConnectionLost, result.CallerCancelled, result.DeadlineExceeded:
	default:
		return
	}
	now := time.Now()
	if p.process.BackEnd != nil && p.process.BackEnd.State().Leaving {
		return
	}
	signature := call.Signature()
	p.mutex.Lock()
	instance := p.incarnation(call)
	p.witness.Lost(now, instance, signature)
	broken := code == result.ConnectionLost
	if broken {
		p.doubt = doubt{instance: instance, since: now, probed: p.doubt.probed}
	}
	p.mutex.Unlock()
	if broken {
		p.wake()
	}
}

func (p *plugin) wake() {
	select {
	case p.doubtful <- struct{}{}:
	default: // the watch is about to look
	}
}

// incarnation names the incarnation that a call was handed to. One without a name gets
// one that no other process gives. The mutex is held.
func (p *plugin) incarnation(call *kernel.Call) string {
	if call.Instance != "" {
		return call.Instance
	}
	return fmt.Sprintf("%s/%d", p.process.ID, p.crashes)
}

// settle forgets the doubt of an incarnation.
func (p *plugin) settle(instance string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.doubt.instance == instance {
		p.doubt = doubt{}
	}
}

// ended takes note that an incarnation has ended while it worked on requests.
func (p *plugin) ended(instance, found string) {
	p.settle(instance)
	p.mutex.Lock()
	suspects := p.witness.Suspects(instance)
	p.crashes++
	p.mutex.Unlock()
	p.process.Log.Emit(event.BackendCrashed, "backend", p.process.Settings.Backend, "instance", instance, "found", found,
		"suspects", len(suspects), "signatures", suspects)
}
