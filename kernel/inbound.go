package kernel

import (
	"net/http"
	"time"

	"github.com/loomcleat/loomcleat/admission"
	"github.com/loomcleat/loomcleat/instance"
	"github.com/loomcleat/loomcleat/policy"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/retrybudget"
	"github.com/loomcleat/loomcleat/wire"
)

// serveInbound serves a call of another process to the back end of this node.
func (p *Process) serveInbound(w http.ResponseWriter, r *http.Request) {
	build := func(r *http.Request) (*Call, error) {
		received := wire.ReadCallContext(r.Header)
		call, err := p.inboundCall(r, &received)
		if err != nil {
			// The caller takes an answer without its attempt for that of another request.
			refused := wire.Report{Attempt: received.Attempt, UnusedRetries: received.RetryAllowance}
			refused.Write(w.Header())
		}
		return call, err
	}
	p.serve(w, r, DirectionInbound, p.inbound, build)
}

// addReport writes the report for the calling process into the header of an answer.
// answer is nil when the call was refused.
func (p *Process) addReport(header http.Header, call *Call, answer *Answer) {
	report := wire.Report{
		Attempt:          call.Attempt,
		UnusedRetries:    call.Budget.Close(),
		Level:            call.Execution.Level(),
		Pressure:         call.Execution.Pressure(),
		CausedDownstream: answer.Failed() && call.Execution.CallFailed(),
		Leaving:          p.LeaveAnnounced(),
		Replayed:         answer != nil && answer.Replayed,
	}
	if p.hooks.occupancy != nil {
		occupancy := p.hooks.occupancy(time.Now())
		report.Level = max(report.Level, occupancy.Level)
		report.LoadKnown, report.Load = true, occupancy.Load
		report.FaultRate = occupancy.FaultRate
	}
	report.Write(header)
	wire.WriteDeclared(header, p.declared())
}

// declared returns what the back end of this node has declared about itself. The incarnation is left
// out if it has declared nothing.
func (p *Process) declared() instance.Declared {
	var declared instance.Declared
	if limit, limited := p.RateLimit.Limit(); limited {
		declared.Limit = &limit
	}
	if p.BackEnd == nil {
		return declared
	}
	state := p.BackEnd.State()
	declared.Leaving = state.Leaving
	if declared.Restricted() {
		declared.Incarnation = state.Incarnation()
	}
	return declared
}

// inboundCall builds a call of another process to the back end of this node.
func (p *Process) inboundCall(r *http.Request, received *wire.CallContext) (*Call, error) {
	service := p.Settings.Service
	if received.Service != "" && received.Service != service {
		return nil, result.New(result.NodeRefused, "this node serves %s, not %s", service, received.Service)
	}
	if err := p.checkReady(); err != nil {
		return nil, err
	}
	to := target{service: service, policy: p.Policy.Load().Resolve(service, r.Method, r.URL.EscapedPath())}
	call, err := p.newCall(r, to)
	if err != nil {
		return nil, err
	}
	call.Inbound = true
	call.Tenant = p.Dialect.ReadTenant(call.Header)
	p.readContext(call, received)
	call.Declared = wire.ReadDeclared(call.Header)
	wire.RemoveInternal(call.Header)
	call.Execution = &Execution{
		UserRequest: call.UserRequest,
		Priority:    call.Priority,
		Deadline:    call.Deadline,
		Budget:      call.Budget,
		Hops:        call.Hops,

		RequestID: call.RequestID,
		IsRetry:   call.IsRetry,
	}
	for _, read := range p.hooks.readContext {
		if err := read(call, received); err != nil {
			return nil, err
		}
	}
	return call, nil
}

// readContext copies the received call context into the call. A call without a context
// comes from outside the mesh and gets no retries and the lowest priority.
func (p *Process) readContext(call *Call, received *wire.CallContext) {
	call.UserRequest, call.Attempt = received.Request, received.Attempt
	if call.UserRequest == "" {
		p.startUserRequest(call, policy.Bulk, 0)
		call.Priority = 0
		return
	}
	call.Deadline = call.Arrived.Add(received.Remaining)
	call.Priority = min(max(received.Priority, 0), admission.MaximumPriority)
	call.Budget = retrybudget.Open(min(received.RetryAllowance, policy.MaximumRetryBudget))
	call.Hops = received.Hops
	call.IsRetry = received.IsRetry
	call.Resent = received.Resent
	call.Policy.TargetLatency = received.TargetLatency
}
