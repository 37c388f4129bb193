package routing

import (
	"time"

	"github.com/loomcleat/loomcleat/balance"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/result"
)

// handle makes one attempt, or refuses the call.
func (r *router) handle(call *kernel.Call) (*kernel.Answer, error) {
	balancer := r.balancer(call.Service)
	if balancer == nil || balancer.Size() == 0 {
		return nil, r.noNode(call)
	}
	now := time.Now()
	level := balancer.Level(now, call.Policy.Path)
	if call.Priority < level {
		recordLevel(call, level)
	}
	if call.Priority < level && refusedByLevel(call) {
		return nil, result.New(result.ShedEarly, "a service on the call path admits only higher priorities now").WithUsualRetryAfter()
	}
	target, found := pick(now, balancer, call)
	if !found {
		return nil, r.noNode(call)
	}
	call.TriedNodes = append(call.TriedNodes, target.ID)
	return r.attempt(call, balancer, target)
}

// refusedByLevel reports whether a call below the admission level is refused before it is sent.
// A call with upstream work waits for a slot at the node instead. A routed request has already
// been admitted by the gate of its route (plug-in shed).
func refusedByLevel(call *kernel.Call) bool { return !call.HasUpstreamWork() && !call.Routed }

// pick returns the node for the next attempt, one that the call has not tried yet. If all were
// tried, it clears call.TriedNodes and returns any node.
func pick(now time.Time, balancer *balance.Balancer, call *kernel.Call) (balance.Target, bool) {
	requirements := balance.Requirements{Path: call.Policy.Path, Priority: call.Priority, Exclude: call.TriedNodes, NotRepeatable: !call.Policy.Repeatable}
	if target, found := balancer.Pick(now, requirements); found {
		return target, true
	}
	call.TriedNodes, requirements.Exclude = nil, nil
	return balancer.Pick(now, requirements)
}

func (r *router) noNode(call *kernel.Call) error {
	if !call.Policy.Known && r.balancer(call.Service) == nil {
		if r.process.Documents.MayBeOutdated(r.process.Policy.Load().Revision()) {
			return result.New(result.PolicyOutdated, "there is no service %q in a policy that may not be the newest one", call.Service).WithUsualRetryAfter()
		}
		return result.New(result.UnknownService, "there is no service %q", call.Service)
	}
	return result.New(result.NoNode, "no node of service %q is available", call.Service).WithUsualRetryAfter()
}

func recordLevel(call *kernel.Call, level int) {
	if call.Execution != nil {
		call.Execution.RecordLevel(level)
	}
}
