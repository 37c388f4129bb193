package routing

import (
	"time"

	"github.com/loomcleat/loomcleat/balance"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/result"
)

// handle makes one attempt.
func (r *router) handle(call *kernel.Call) (*kernel.Answer, error) {
	balancer := r.balancer(call.Service)
	if balancer == nil || balancer.Size() == 0 {
		return nil, r.noNode(call)
	}
	now := time.Now()
	level := balancer.Level(now, call.Policy.Path)
	if call.Priority < level {
		noteLevel(call, level)
	}
	if call.Priority < level && refusedByLevel(call) {
		return nil, result.New(result.ShedEarly, "a service on the call path admits only higher priorities now").WithUsualRetryAfter()
	}
	target, found := pick(now, balancer, call)
	if !found {
		return nil, r.noNode(call)
	}
	call.Tried = append(call.Tried, target.ID)
	return r.attempt(call, balancer, target)
}

// refusedByLevel reports whether levels refuse calls like this one before they are sent.
// Committed calls wait beside the back end instead, and where a route table is in force,
// the gate of the route has admitted the request (plug-in shed).
func refusedByLevel(call *kernel.Call) bool { return !call.Committed() && !call.Routed }

// pick returns the node for the next attempt: one that was not tried yet, and when all
// were, any, with the list begun again.
func pick(now time.Time, balancer *balance.Balancer, call *kernel.Call) (balance.Target, bool) {
	need := balance.Need{Path: call.Policy.Path, Priority: call.Priority, Exclude: call.Tried, Once: !call.Policy.Repeatable}
	if target, found := balancer.Pick(now, need); found {
		return target, true
	}
	call.Tried, need.Exclude = nil, nil
	return balancer.Pick(now, need)
}

func (r *router) noNode(call *kernel.Call) error {
	if !call.Policy.Known && r.balancer(call.Service) == nil {
		return result.New(result.UnknownService, "there is no service %q", call.Service)
	}
	return result.New(result.NoNode, "no node of service %q is available", call.Service).WithUsualRetryAfter()
}

func noteLevel(call *kernel.Call, level int) {
	if call.Execution != nil {
		call.Execution.NoteLevel(level)
	}
}
