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
	path := call.Policy.Path
	level := balancer.Level(now, path)
	if call.Priority < level {
		noteLevel(call, level)
	}
	if call.Priority < level && !call.Committed() && !call.Routed {
		return nil, result.New(result.ShedEarly, "a service on the call path admits only higher priorities now").WithUsualRetryAfter()
	}
	need := balance.Need{Path: path, Priority: call.Priority, Exclude: call.Tried, Once: !call.Policy.Repeatable}
	target, found := balancer.Pick(now, need)
	if !found {
		call.Tried, need.Exclude = nil, nil // all were tried: begin again
		if target, found = balancer.Pick(now, need); !found {
			return nil, r.noNode(call)
		}
	}
	call.Tried = append(call.Tried, target.ID)
	return r.attempt(call, balancer, target)
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
