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

// serveOutbound serves a call that the back end of this node makes.
func (p *Process) serveOutbound(w http.ResponseWriter, r *http.Request) {
	p.serve(w, r, directionOutbound, p.outbound, p.outboundCall)
}

// outgoingCall builds a call that will be routed to a service. service returns the name
// of that service when there is no route table.
func (p *Process) outgoingCall(r *http.Request, service func(*http.Request) string) (*Call, error) {
	if err := p.checkReady(); err != nil {
		return nil, err
	}
	to, err := p.routeTarget(r, service)
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

// gatewayCall builds the call of a caller outside the mesh. It ignores the internal
// headers (priority, budget, identity) that the caller may have sent.
func (p *Process) gatewayCall(r *http.Request) (*Call, error) {
	call, err := p.outgoingCall(r, p.routeService)
	if err != nil {
		return nil, err
	}
	wire.RemoveInternal(call.Header)
	p.startExternal(call)
	return call, nil
}

// startExternal starts a user request for a caller outside the mesh.
func (p *Process) startExternal(call *Call) {
	call.External = true
	p.startUserRequest(call, call.Policy.Class, call.Policy.RetryBudget)
}

// startUserRequest starts a user request with the given class and number of retries.
func (p *Process) startUserRequest(call *Call, class policy.Class, retries int) {
	call.UserRequest = p.NewIdentity()
	call.Priority = admission.Priority(int(class), call.UserRequest)
	call.Deadline = p.deadlineOf(call)
	call.Budget = retrybudget.Open(retries)
}

// outboundHandler returns the handler of the outbound listener, which serves calls of the
// back end and, at an entry, also calls from outside the mesh.
func (p *Process) outboundHandler() http.Handler {
	if p.Settings.Entry {
		return http.HandlerFunc(p.serveEntry)
	}
	return http.HandlerFunc(p.serveOutbound)
}

// outboundCall builds a call that the back end of this node makes. A call with the token
// of an execution in progress joins its user request. Other calls get no retries and the
// lowest class.
func (p *Process) outboundCall(r *http.Request) (*Call, error) {
	call, err := p.outgoingCall(r, serviceOfHost)
	if err != nil {
		return nil, err
	}
	token := r.Header.Get(wire.HeaderToken)
	wire.RemoveInternal(call.Header)
	if execution := p.executions.find(token); execution != nil {
		p.joinExecution(call, execution)
		return call, nil
	}
	p.startUserRequest(call, policy.Bulk, 0)
	return call, nil
}

// serveEntry serves a call from outside the mesh or a call of the back end.
func (p *Process) serveEntry(w http.ResponseWriter, r *http.Request) {
	if p.servePipelined(w, r) {
		return
	}
	p.serve(w, r, directionOutbound, p.outbound, p.entryCall)
}

// entryCall builds a call from outside the mesh or from the back end. A call that belongs
// to an execution in progress, by its token or its request ID, joins the user request of
// that execution. Other calls are user requests of their own.
func (p *Process) entryCall(r *http.Request) (*Call, error) {
	call, err := p.outgoingCall(r, serviceOfHost)
	if err != nil {
		return nil, err
	}
	execution := p.executions.find(r.Header.Get(wire.HeaderToken))
	if execution == nil {
		execution = p.guessParent(call)
		call.ParentGuessed = execution != nil
	}
	wire.RemoveInternal(call.Header)
	if execution != nil {
		p.joinExecution(call, execution)
	} else {
		p.startExternal(call)
	}
	return call, nil
}

// guessParent returns the execution to which a call belongs by its request ID, nil when there
// is none.
func (p *Process) guessParent(call *Call) *Execution {
	if p.Dialect.ParentID == nil || call.RequestID == "" {
		return nil
	}
	parent, ok := p.Dialect.ParentID(call.RequestID)
	if !ok {
		return nil
	}
	return p.executions.findRequest(parent)
}

// joinExecution makes a call part of the user request of an execution.
func (p *Process) joinExecution(call *Call, execution *Execution) {
	call.Execution = execution
	call.UserRequest = execution.UserRequest
	call.Priority = execution.Priority
	call.Budget = execution.Budget
	call.Hops = execution.Hops + 1
	call.IsRetry = execution.IsRetry
	call.Deadline = min(execution.Deadline, p.deadlineOf(call))
}

// deadlineOf returns the deadline of a call, the earlier one of its policy and its caller.
// It sets call.CallerTimeout when the caller sent the time it has left.
func (p *Process) deadlineOf(call *Call) clock.Instant {
	limit := call.Policy.Deadline
	if left, sent := p.Dialect.ReadRemaining(call.Header); sent {
		call.CallerTimeout = left
		limit = min(limit, left)
	}
	return call.Arrived.Add(limit)
}
