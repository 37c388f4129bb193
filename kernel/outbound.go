package kernel

import (
	"net/http"

	"github.com/loomcleat/loomcleat/admission"
	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/policy"
	"github.com/loomcleat/loomcleat/retrybudget"
	"github.com/loomcleat/loomcleat/wire"
)

// serveGateway serves a caller outside the mesh.
func (p *Process) serveGateway(w http.ResponseWriter, r *http.Request) {
	p.serve(w, r, directionGateway, p.outbound, p.gatewayCall)
}

// serveOutbound serves a call that the own back end makes.
func (p *Process) serveOutbound(w http.ResponseWriter, r *http.Request) {
	p.serve(w, r, directionOutbound, p.outbound, p.outboundCall)
}

// outgoingCall builds a call that is to be routed to a service.
func (p *Process) outgoingCall(r *http.Request, service func(*http.Request) string) (*Call, error) {
	if err := p.checkReady(); err != nil {
		return nil, err
	}
	to, err := p.routed(r, service)
	if err != nil {
		return nil, err
	}
	if err := checkLimits(r, p.Policy.Load().Limits()); err != nil {
		return nil, err
	}
	call, err := p.newCall(r, to)
	if err != nil {
		return nil, err
	}
	call.Credential = p.Dialect.TakeCredential(call.Header)
	if name := p.Dialect.CallerService; name != "" {
		call.Header.Set(name, p.Settings.Service)
	}
	return call, nil
}

// gatewayCall builds the call of a caller outside the mesh. Nothing that the
// caller says about priority, budget or identity inside the mesh counts.
func (p *Process) gatewayCall(r *http.Request) (*Call, error) {
	call, err := p.outgoingCall(r, p.routeService)
	if err != nil {
		return nil, err
	}
	wire.RemoveInternal(call.Header)
	p.admitCaller(call)
	return call, nil
}

// admitCaller starts the user request of a caller outside the mesh.
func (p *Process) admitCaller(call *Call) {
	call.External = true
	p.grant(call, call.Policy.Class, call.Policy.RetryBudget)
}

// grant starts a user request.
func (p *Process) grant(call *Call, class policy.Class, retries int) {
	call.Request = p.NewIdentity()
	call.Priority = admission.Priority(int(class), call.Request)
	call.Deadline = p.deadlineOf(call)
	call.Budget = retrybudget.Open(retries)
}

// outboundHandler serves the outbound listener: calls of the own back end, and
// at an entry those of callers outside the mesh as well.
func (p *Process) outboundHandler() http.Handler {
	if p.Settings.Entry {
		return http.HandlerFunc(p.serveEntry)
	}
	return http.HandlerFunc(p.serveOutbound)
}

// outboundCall builds a call that the own back end makes. A call that carries
// the context of a request that is being served belongs to its user request.
// One without gets no retries and the lowest class.
func (p *Process) outboundCall(r *http.Request) (*Call, error) {
	call, err := p.outgoingCall(r, serviceOfHost)
	if err != nil {
		return nil, err
	}
	token := r.Header.Get(wire.HeaderContext)
	wire.RemoveInternal(call.Header)
	if execution := p.executions.find(token); execution != nil {
		p.join(call, execution)
		return call, nil
	}
	p.grant(call, policy.Bulk, 0)
	return call, nil
}

// serveEntry serves a caller outside the mesh or a call of the own back end.
func (p *Process) serveEntry(w http.ResponseWriter, r *http.Request) {
	if p.passPipelined(w, r) {
		return
	}
	p.serve(w, r, directionOutbound, p.outbound, p.entryCall)
}

// entryCall builds a call that may come from anywhere. One that belongs to a
// request that the own back end is serving, by its context or by its name, is
// joined to it; any other is a user request of its own.
func (p *Process) entryCall(r *http.Request) (*Call, error) {
	call, err := p.outgoingCall(r, serviceOfHost)
	if err != nil {
		return nil, err
	}
	execution := p.executions.find(r.Header.Get(wire.HeaderContext))
	if execution == nil {
		execution = p.parentOf(call)
		call.ParentGuessed = execution != nil
	}
	wire.RemoveInternal(call.Header)
	if execution != nil {
		p.join(call, execution)
	} else {
		p.admitCaller(call)
	}
	return call, nil
}

// parentOf returns the execution that a call belongs to by its name, nil when
// there is none.
func (p *Process) parentOf(call *Call) *Execution {
	if p.Dialect.ParentID == nil || call.RequestID == "" {
		return nil
	}
	parent, ok := p.Dialect.ParentID(call.RequestID)
	if !ok {
		return nil
	}
	return p.executions.findRequest(parent)
}

// join makes a call part of the user request of an execution.
func (p *Process) join(call *Call, execution *Execution) {
	call.Execution = execution
	call.Request = execution.Request
	call.Priority = execution.Priority
	call.Budget = execution.Budget
	call.Hops = execution.Hops + 1
	call.Repeat = execution.Repeat
	call.Deadline = min(execution.Deadline, p.deadlineOf(call))
}

// deadlineOf returns when a call ends by its policy and by what its caller says,
// which it notes.
func (p *Process) deadlineOf(call *Call) clock.Instant {
	limit := call.Policy.Deadline
	if left, told := p.Dialect.ReadRemaining(call.Header); told {
		call.Patience = left
		limit = min(limit, left)
	}
	return clock.Now().Add(limit)
}
