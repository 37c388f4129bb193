package kernel

import (
	"context"
	"net/http"
	"time"

	"github.com/loomcleat/loomcleat/membership"
	"github.com/loomcleat/loomcleat/wire"
)

// hooks are the extensions that plug-ins add to a process during set-up. They do not
// change afterwards.
type hooks struct {
	inbound      map[string]Middleware // by plug-in name
	outbound     map[string]Middleware
	readiness    []func() bool
	start        []func(context.Context)
	drain        []func(context.Context)
	members      []func(time.Time, []membership.Member)
	readContext  []func(*Call, *wire.CallContext) error
	writeContext []func(*Call, *wire.CallContext)
	status       []func(*wire.Status)
	occupancy    func(time.Time) Occupancy // nil when unknown
}

func newHooks() hooks {
	return hooks{inbound: map[string]Middleware{}, outbound: map[string]Middleware{}}
}

// UseInbound adds a plug-in's middleware for calls to the back end.
func (p *Process) UseInbound(name string, middleware Middleware) { p.hooks.inbound[name] = middleware }

// UseOutbound adds a plug-in's middleware for calls to other processes.
func (p *Process) UseOutbound(name string, middleware Middleware) {
	p.hooks.outbound[name] = middleware
}

// HandleControl adds a handler on the control listener.
func (p *Process) HandleControl(pattern string, handler http.HandlerFunc) {
	p.servers.controlRoutes.HandleFunc(pattern, handler)
}

// AddReadiness adds a condition that must hold before the process accepts requests.
func (p *Process) AddReadiness(condition func() bool) {
	p.hooks.readiness = append(p.hooks.readiness, condition)
}

// OnStart adds a function that runs in its own goroutine from the start of the process.
// It must return when its context is cancelled.
func (p *Process) OnStart(run func(context.Context)) { p.hooks.start = append(p.hooks.start, run) }

// OnDrain adds a function that runs when the process stops, before it refuses requests
// and while it still answers its peers. The process waits for it until its context ends.
func (p *Process) OnDrain(run func(context.Context)) { p.hooks.drain = append(p.hooks.drain, run) }

// OnMembers adds a function that is called on the control loop when the
// membership has changed.
func (p *Process) OnMembers(changed func(time.Time, []membership.Member)) {
	p.hooks.members = append(p.hooks.members, changed)
}

// OnStatus adds a function that fills in a part of the status of the process.
func (p *Process) OnStatus(fill func(*wire.Status)) { p.hooks.status = append(p.hooks.status, fill) }

// OnReadContext adds a function that reads its fields of the call context received with
// an inbound call. The Execution of the call is set. An error refuses the call.
func (p *Process) OnReadContext(read func(call *Call, received *wire.CallContext) error) {
	p.hooks.readContext = append(p.hooks.readContext, read)
}

// OnWriteContext adds a function that sets its fields of the call context sent with each
// attempt of a call.
func (p *Process) OnWriteContext(write func(call *Call, sent *wire.CallContext)) {
	p.hooks.writeContext = append(p.hooks.writeContext, write)
}

// WriteContext runs the functions added with OnWriteContext for an attempt of a call.
func (p *Process) WriteContext(call *Call, sent *wire.CallContext) {
	for _, write := range p.hooks.writeContext {
		write(call, sent)
	}
}

// SetOccupancy sets the function that returns the occupancy of the back end.
func (p *Process) SetOccupancy(occupancy func(time.Time) Occupancy) { p.hooks.occupancy = occupancy }
