package kernel

import (
	"net/http"
	"strconv"
	"time"

	"github.com/loomcleat/loomcleat/admission"
	"github.com/loomcleat/loomcleat/policy"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/retrybudget"
	"github.com/loomcleat/loomcleat/wire"
)

// serveInbound serves a call of another process for the own back end.
func (p *Process) serveInbound(w http.ResponseWriter, r *http.Request) {
	p.serve(w, r, DirectionInbound, p.inbound, p.inboundCall)
}

// addReport adds to an answer what the calling process needs to know.
func (p *Process) addReport(header http.Header, call *Call) {
	header.Set(wire.HeaderAttempt, call.Attempt)
	if unspent := call.Budget.Close(); unspent > 0 {
		header.Set(wire.HeaderUnspent, strconv.Itoa(unspent))
	}
	level := call.Execution.Level()
	if p.occupancy != nil {
		own := p.occupancy(time.Now())
		level = max(level, own.Level)
		header.Set(wire.HeaderLoad, strconv.Itoa(int(100*own.Load)))
	}
	if level > 0 {
		header.Set(wire.HeaderLevel, strconv.Itoa(level))
	}
	if pressure := call.Execution.Pressure(); pressure > 0 {
		header.Set(wire.HeaderPressure, strconv.FormatFloat(pressure, 'f', 2, 64))
	}
	if p.Leaving() {
		header.Set(wire.HeaderLeaving, "1")
	}
}

// inboundCall builds a call from another process for the own back end.
func (p *Process) inboundCall(r *http.Request) (*Call, error) {
	service := r.Header.Get(wire.HeaderService)
	if service == "" {
		service = p.Settings.Service
	}
	if service != p.Settings.Service {
		return nil, result.New(result.NodeRefused, "this node serves %s, not %s", p.Settings.Service, service)
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
	if err := p.readContext(call); err != nil {
		return nil, err
	}
	wire.RemoveInternal(call.Header)
	call.Execution = &Execution{
		Request:  call.Request,
		Identity: call.ClaimKey.String(),
		Priority: call.Priority,
		Deadline: call.Deadline,
		Budget:   call.Budget,
		Hops:     call.Hops,

		RequestID: call.RequestID,
		Repeat:    call.Repeat,
	}
	return call, nil
}

// readContext reads the internal headers of a call. A call without them comes
// from outside the mesh and gets no retries and the lowest priority.
func (p *Process) readContext(call *Call) error {
	header := call.Header
	call.Request = header.Get(wire.HeaderRequest)
	call.Attempt = header.Get(wire.HeaderAttempt)
	if call.Request == "" {
		p.grant(call, policy.Bulk, 0)
		call.Priority = 0
		return nil
	}
	remaining := number(header, wire.HeaderRemaining, 0)
	call.Deadline = time.Now().Add(time.Duration(remaining) * time.Microsecond)
	call.Priority = min(max(number(header, wire.HeaderPriority, 0), 0), admission.MaximumPriority)
	call.Budget = retrybudget.Open(min(number(header, wire.HeaderBudget, 0), policy.MaximumRetryBudget))
	call.Hops = number(header, wire.HeaderHops, 0)
	call.Repeat = header.Get(wire.HeaderRepeat) != ""
	call.Policy.TargetLatency = time.Duration(number(header, wire.HeaderTarget, 0)) * time.Millisecond
	return readClaimKey(call)
}

// readClaimKey reads the key of a call that may not be repeated. Others have
// none.
func readClaimKey(call *Call) error {
	text := call.Header.Get(wire.HeaderClaimKey)
	if text == "" {
		return nil
	}
	return call.ClaimKey.UnmarshalText([]byte(text))
}

// number reads a whole number from a header.
func number(header http.Header, name string, fallback int) int {
	value, err := strconv.Atoi(header.Get(name))
	if err != nil {
		return fallback
	}
	return value
}
