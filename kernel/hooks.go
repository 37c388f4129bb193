package kernel

import (
	"context"
	"net/http"
	"time"

	"github.com/loomcleat/loomcleat/membership"
	"github.com/loomcleat/loomcleat/wire"
)

// hooks are what plug-ins add to a process during set-up. They are not changed later.
type hooks struct {
	inbound      map[string]Middleware // by name of the plug-in
	outbound     map[string]Middleware
	readiness    []func() bool
	start        []func(context.Context)
	drain        []func(context.Context)
	members      []func(time.Time, []membership.Member)
	readContext  []func(*Call, *wire.CallContext) error
	writeContext []func(*Call, *wire.CallContext)
	status       []func(*wire.Status)
	occupancy    func(time.Time) Occupancy // nil: not known
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

// AddReadiness adds a condition for taking requests.
func (p *Process) AddReadiness(condition func() bool) {
	p.hooks.readiness = append(p.hooks.readiness, condition)
}

// OnStart adds a function that is run in a goroutine of its own from start to
// the end of its context.
func (p *Process) OnStart(run func(context.Context)) { p.hooks.start = append(p.hooks.start, run) }

// OnDrain adds a function that a stopping process waits for while it still
// answers its peers.
func (p *Process) OnDrain(run func(context.Context)) { p.hooks.drain = append(p.hooks.drain, run) }

// OnMembers adds a function that is called on the control loop when the
// membership has changed.
func (p *Process) OnMembers(changed func(time.Time, []membership.Member)) {
	p.hooks.members = append(p.hooks.members, changed)
}

// OnStatus adds a function that fills in a part of the status of the process.
func (p *Process) OnStatus(fill func(*wire.Status)) { p.hooks.status = append(p.hooks.status, fill) }

// OnReadContext adds a function that takes its part of what another process has told
// with an inbound call, whose Execution is set. An error refuses the call.
func (p *Process) OnReadContext(read func(call *Call, told *wire.CallContext) error) {
	p.hooks.readContext = append(p.hooks.readContext, read)
}

// OnWriteContext adds a function that adds its part to what a node is told with each
// attempt of a call.
func (p *Process) OnWriteContext(write func(call *Call, told *wire.CallContext)) {
	p.hooks.writeContext = append(p.hooks.writeContext, write)
}

// WriteContext adds what plug-ins tell a node with an attempt of a call.
func (p *Process) WriteContext(call *Call, told *wire.CallContext) {
	for _, write := range p.hooks.writeContext {
		write(call, told)
	}
}

// SetOccupancy sets the function that returns how busy the back end is.
func (p *Process) SetOccupancy(occupancy func(time.Time) Occupancy) { p.hooks.occupancy = occupancy }
