package kernel

import (
	"net/http"
	"time"

	"github.com/loomcleat/loomcleat/admission"
	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/policy"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/retrybudget"
	"github.com/loomcleat/loomcleat/wire"
)

// serveInbound serves a call of another process for the own back end.
func (p *Process) serveInbound(w http.ResponseWriter, r *http.Request) {
	p.serve(w, r, DirectionInbound, p.inbound, p.inboundCall)
}

// addReport adds to an answer what the calling process needs to know. answer is nil when
// the call was refused.
func (p *Process) addReport(header http.Header, call *Call, answer *Answer) {
	report := wire.Report{
		Attempt:   call.Attempt,
		Unspent:   call.Budget.Close(),
		Level:     call.Execution.Level(),
		Pressure:  call.Execution.Pressure(),
		Inherited: answer.Failed() && call.Execution.CallFailed(),
		Leaving:   p.Announced(),
		Replayed:  answer != nil && answer.Replayed,
	}
	if p.hooks.occupancy != nil {
		own := p.hooks.occupancy(time.Now())
		report.Level = max(report.Level, own.Level)
		report.LoadKnown, report.Load = true, own.Load
		report.Faults = own.Faults
	}
	report.Write(header)
}

// inboundCall builds a call from another process for the own back end.
func (p *Process) inboundCall(r *http.Request) (*Call, error) {
	told := wire.ReadCallContext(r.Header)
	service := p.Settings.Service
	if told.Service != "" && told.Service != service {
		return nil, result.New(result.NodeRefused, "this node serves %s, not %s", service, told.Service)
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
	p.readContext(call, &told)
	wire.RemoveInternal(call.Header)
	call.Execution = &Execution{
		Request:  call.Request,
		Priority: call.Priority,
		Deadline: call.Deadline,
		Budget:   call.Budget,
		Hops:     call.Hops,

		RequestID: call.RequestID,
		Repeat:    call.Repeat,
	}
	for _, read := range p.hooks.readContext {
		if err := read(call, &told); err != nil {
			return nil, err
		}
	}
	return call, nil
}

// readContext takes what another process told with a call. A call without a context
// comes from outside the mesh and gets no retries and the lowest priority.
func (p *Process) readContext(call *Call, told *wire.CallContext) {
	call.Request, call.Attempt = told.Request, told.Attempt
	if call.Request == "" {
		p.grant(call, policy.Bulk, 0)
		call.Priority = 0
		return
	}
	call.Deadline = clock.Now().Add(told.Remaining)
	call.Priority = min(max(told.Priority, 0), admission.MaximumPriority)
	call.Budget = retrybudget.Open(min(told.Budget, policy.MaximumRetryBudget))
	call.Hops = told.Hops
	call.Repeat = told.Repeat
	call.Policy.TargetLatency = told.Target
}
