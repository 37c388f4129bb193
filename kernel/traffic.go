package kernel

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/loomcleat/loomcleat/admission"
	"github.com/loomcleat/loomcleat/claims"
	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/policy"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/retrybudget"
	"github.com/loomcleat/loomcleat/wire"
)

// notReadyRetryAfter is the time after which a caller of a process that is not
// ready may ask again.
const notReadyRetryAfter = time.Second

// serveGateway serves a caller outside the mesh.
func (p *Process) serveGateway(w http.ResponseWriter, r *http.Request) {
	p.serve(w, r, directionGateway, p.outbound, p.gatewayCall)
}

// serveOutbound serves a call that the own back end makes.
func (p *Process) serveOutbound(w http.ResponseWriter, r *http.Request) {
	p.serve(w, r, directionOutbound, p.outbound, p.outboundCall)
}

// serveInbound serves a call of another process for the own back end.
func (p *Process) serveInbound(w http.ResponseWriter, r *http.Request) {
	p.serve(w, r, directionInbound, p.inbound, p.inboundCall)
}

// serve turns a request into a Call, lets the chain answer it and writes the
// answer.
func (p *Process) serve(w http.ResponseWriter, r *http.Request, direction string, chain Handler, build func(*http.Request) (*Call, error)) {
	started := time.Now()
	p.inFlight.Add(1)
	defer p.inFlight.Add(-1)
	defer p.recoverPanic(w)
	if isStreamed(r) {
		defer streamBothWays(w, r)()
	}
	var answer *Answer
	call, err := build(r)
	if err == nil {
		var cancel context.CancelFunc
		call.Context, cancel = context.WithDeadline(r.Context(), call.Deadline)
		defer cancel()
		if call.Inbound {
			p.executions.add(call.Execution)
			defer p.executions.remove(call.Execution)
		}
		answer, err = chain.Handle(call)
	}
	defer func() { p.Counters.observe(direction, err, time.Since(started)) }()
	if call != nil && call.Inbound {
		p.addReport(w.Header(), call)
	}
	if p.Leaving() {
		w.Header().Set("Connection", "close")
	}
	if err != nil {
		p.logEnd(r, call, direction, err, time.Since(started))
		result.From(err).WriteHTTP(w)
		return
	}
	defer answer.Body.Close()
	writeAnswer(w, answer.Response)
}

// recoverPanic keeps the process alive when a handler panics.
func (p *Process) recoverPanic(http.ResponseWriter) {
	cause := recover()
	if cause == nil {
		return
	}
	if cause != http.ErrAbortHandler {
		p.Log.Emit(event.RequestPanic, "panic", cause)
	}
	panic(http.ErrAbortHandler) // the caller sees a broken connection, not a whole answer
}

// addReport adds to an answer what the calling process needs to know.
func (p *Process) addReport(header http.Header, call *Call) {
	header.Set(wire.HeaderAttempt, call.Attempt)
	if unspent := call.Budget.Close(); unspent > 0 {
		header.Set(wire.HeaderUnspent, strconv.Itoa(unspent))
	}
	level := call.Execution.Level()
	if p.levelOf != nil {
		level = max(level, p.levelOf(time.Now()))
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

// target is the service that a request is for and how it is to be treated.
type target struct {
	service string
	policy  policy.Effective
	routed  bool // by the route table
}

// routed finds the target of a request by the route table of the policy tree.
// Without one, service says what it is for.
func (p *Process) routed(r *http.Request, service func(*http.Request) string) (target, error) {
	index := p.Policy.Load()
	path := r.URL.EscapedPath()
	if index.Routes().Empty() {
		name := service(r)
		return target{service: name, policy: index.Resolve(name, r.Method, path)}, nil
	}
	route := index.Routes().Find(hostName(r.Host), path)
	if route == nil {
		return target{}, result.New(result.NoRoute, "no route of revision %d leads to %s%s", index.Revision(), r.Host, path)
	}
	name := route.ServiceAt(p.splits.next(route.Name))
	return target{service: name, policy: route.Apply(index.Resolve(name, r.Method, path)), routed: true}, nil
}

// checkReady refuses requests while the process does not know the policy.
func (p *Process) checkReady() error {
	if p.Ready() {
		return nil
	}
	return result.New(result.NotReady, "the process has not learned the policy yet").WithRetryAfter(notReadyRetryAfter)
}

// newCall fills in what all calls have.
func (p *Process) newCall(r *http.Request, to target) (*Call, error) {
	body, err := newBody(r)
	if err != nil {
		return nil, err
	}
	header := r.Header.Clone()
	wire.RemoveHopByHop(header)
	call := &Call{
		Service:     to.service,
		Method:      r.Method,
		URL:         r.URL,
		Host:        r.Host,
		Header:      header,
		Body:        body,
		Fingerprint: body.fingerprint(),
		Policy:      to.policy,
		Routed:      to.routed,
	}
	if p.Dialect.HasRequestID() {
		call.RequestID = header.Get(p.Dialect.RequestID)
	}
	return call, nil
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
	call, err := p.newCall(r, to)
	if err != nil {
		return nil, err
	}
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
	call.Request = uuid.NewString()
	call.Priority = admission.Priority(int(class), call.Request)
	call.Deadline = p.deadlineOf(call)
	call.Budget = retrybudget.Open(retries)
}

// routeService returns the service that a caller's request is for.
func (p *Process) routeService(r *http.Request) string {
	host := hostName(r.Host)
	for _, route := range p.Settings.Routes {
		if route.Host != "" && route.Host != host {
			continue
		}
		if strings.HasPrefix(r.URL.Path, route.PathPrefix) {
			return route.Service
		}
	}
	return firstLabel(host)
}

func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

func firstLabel(host string) string {
	label, _, _ := strings.Cut(host, ".")
	return label
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
	call.Deadline = earlier(execution.Deadline, p.deadlineOf(call))
}

// deadlineOf returns when a call ends by its policy and by what its caller says,
// which it notes.
func (p *Process) deadlineOf(call *Call) time.Time {
	now := time.Now()
	limit := call.Policy.Deadline
	if left, told := p.Dialect.ReadRemaining(call.Header); told {
		call.Patience = left
		limit = min(limit, left)
	}
	return now.Add(limit)
}

// serviceOfHost returns the first label of the Host header.
func serviceOfHost(r *http.Request) string { return firstLabel(hostName(r.Host)) }

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
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
	var key claims.Key
	if err := key.UnmarshalText([]byte(header.Get(wire.HeaderClaimKey))); err != nil {
		return err
	}
	call.ClaimKey = key
	return nil
}

// number reads a whole number from a header.
func number(header http.Header, name string, fallback int) int {
	value, err := strconv.Atoi(header.Get(name))
	if err != nil {
		return fallback
	}
	return value
}
