package kernel

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/membership"
	"github.com/loomcleat/loomcleat/policy"
	"github.com/loomcleat/loomcleat/settings"
	"github.com/loomcleat/loomcleat/store"
	"github.com/loomcleat/loomcleat/wire"
)

// Process is one loomcleat process: a node or a gateway.
type Process struct {
	Settings settings.Settings
	ID       string
	Started  time.Time
	Log      *event.Logger
	Loop     *Loop
	Store    store.Store
	Machines store.MachineList
	Metrics  *prometheus.Registry
	Control  *ControlClient
	Dial     DialFunc // nil: a net.Dialer
	Dialect  wire.Dialect
	Registry store.Registry // nil: none
	Counters Counters

	// Policy is the policy tree in force.
	Policy atomic.Pointer[policy.Index]
	// Members is what is known of the mesh, in order of id.
	Members atomic.Pointer[[]membership.Member]
	// MachineState is what the machine list last said, nil before that and in
	// processes that do not poll it.
	MachineState atomic.Pointer[MachineState]
	// BackEndLoad is what the back end beside this process last told of its load, nil
	// when it has told nothing.
	BackEndLoad atomic.Pointer[ToldLoad]
	// Documents and Mesh are set during set-up by plug-ins.
	Documents Documents
	Mesh      Mesh
	// Quarantine is set during set-up by a plug-in, nil without it.
	Quarantine Quarantine
	// BackEnd is set during set-up by a plug-in, nil when the back end sends no
	// heartbeats.
	BackEnd BackEnd

	inFlight       atomic.Int64
	ready          atomic.Bool
	leaving        atomic.Bool
	announced      atomic.Bool
	draining       atomic.Bool
	executions     *Executions
	splits         splitCounters
	identities     identities
	endpoints      []Endpoint
	listeners      listeners
	servers        servers
	middleware     [2]map[string]Middleware // inbound, outbound
	inbound        Handler
	outbound       Handler
	readiness      []func() bool
	onStart        []func(context.Context)
	onDrain        []func(context.Context)
	onMembers      []func(time.Time, []membership.Member)
	onReadContext  []func(*Call, *wire.CallContext) error
	onWriteContext []func(*Call, *wire.CallContext)
	onStatus       []func(*wire.Status)
	occupancy      func(time.Time) Occupancy
	context        context.Context
	cancel         context.CancelFunc
	stopOnce       sync.Once
	stopped        chan struct{}
}

// ToldLoad is the load that a back end told, and when.
type ToldLoad struct {
	wire.BackEndLoad
	At time.Time
}

// MachineState is one reading of the machine list.
type MachineState struct {
	At       clock.Instant
	Machines []store.Machine
}

// LiveIDs returns the ids of the members that are not dead or leaving.
func LiveIDs(members []membership.Member) []string {
	ids := make([]string, 0, len(members))
	for _, member := range members {
		if member.Status != membership.Dead && !member.Leaving {
			ids = append(ids, member.ID)
		}
	}
	return ids
}

// New binds the listeners of a process and sets up its plug-ins. Nothing is
// served before Start.
func New(options Options) (*Process, error) {
	if err := clock.Check(); err != nil {
		return nil, err
	}
	p := &Process{
		Settings: options.Settings,
		ID:       newProcessID(options.Settings),
		Started:  time.Now(),
		Log:      options.Log,
		Loop:     newLoop(),
		Store:    options.Store,
		Machines: options.Machines,
		Dialect:  options.Dialect,
		Registry: options.Registry,
		Metrics:  prometheus.NewRegistry(),
		stopped:  make(chan struct{}),
	}
	p.context, p.cancel = context.WithCancel(context.Background())
	p.Policy.Store(policy.NewIndex(nil))
	p.Members.Store(&[]membership.Member{})
	p.executions = newExecutions(p.ID)
	p.identities.setUp()
	p.middleware = [2]map[string]Middleware{{}, {}}
	p.Dial = options.Dial
	p.endpoints = options.Endpoints
	p.Control = newControlClient(&p.Counters, options.Dial, controlIdleTimeout)
	p.Counters.register(p.Metrics)
	if err := p.listen(); err != nil {
		return nil, err
	}
	p.servers = newServers(p)
	if err := setUpPlugins(p); err != nil {
		p.listeners.close()
		return nil, err
	}
	p.inbound = buildChain(InboundChain, p.middleware[0])
	p.outbound = buildChain(OutboundChain, p.middleware[1])
	return p, nil
}

// newProcessID returns an id that is new at each start, because a process that
// was restarted has forgotten its claims and must not pass for the one before.
func newProcessID(s settings.Settings) string {
	name := s.ID
	if name == "" {
		name = string(s.Role)
	}
	return name + "-" + uuid.NewString()[:13]
}

// IsNode reports whether this process stands beside a back end.
func (p *Process) IsNode() bool { return p.Settings.Role == settings.RoleNode }

// UseInbound adds a plug-in's middleware for calls to the back end.
func (p *Process) UseInbound(name string, middleware Middleware) { p.middleware[0][name] = middleware }

// UseOutbound adds a plug-in's middleware for calls to other processes.
func (p *Process) UseOutbound(name string, middleware Middleware) {
	p.middleware[1][name] = middleware
}

// HandleControl adds a handler on the control listener.
func (p *Process) HandleControl(pattern string, handler http.HandlerFunc) {
	p.servers.controlRoutes.HandleFunc(pattern, handler)
}

// AddReadiness adds a condition for taking requests.
func (p *Process) AddReadiness(condition func() bool) { p.readiness = append(p.readiness, condition) }

// OnStart adds a function that is run in a goroutine of its own from start to
// the end of its context.
func (p *Process) OnStart(run func(context.Context)) { p.onStart = append(p.onStart, run) }

// OnDrain adds a function that a stopping process waits for while it still
// answers its peers.
func (p *Process) OnDrain(run func(context.Context)) { p.onDrain = append(p.onDrain, run) }

// OnMembers adds a function that is called on the control loop when the
// membership has changed.
func (p *Process) OnMembers(changed func(time.Time, []membership.Member)) {
	p.onMembers = append(p.onMembers, changed)
}

// OnStatus adds a function that fills in a part of the status of the process.
func (p *Process) OnStatus(fill func(*wire.Status)) { p.onStatus = append(p.onStatus, fill) }

// OnReadContext adds a function that takes its part of what another process has told
// with an inbound call, whose Execution is set. An error refuses the call.
func (p *Process) OnReadContext(read func(call *Call, told *wire.CallContext) error) {
	p.onReadContext = append(p.onReadContext, read)
}

// OnWriteContext adds a function that adds its part to what a node is told with each
// attempt of a call.
func (p *Process) OnWriteContext(write func(call *Call, told *wire.CallContext)) {
	p.onWriteContext = append(p.onWriteContext, write)
}

// WriteContext adds what plug-ins tell a node with an attempt of a call.
func (p *Process) WriteContext(call *Call, told *wire.CallContext) {
	for _, write := range p.onWriteContext {
		write(call, told)
	}
}

// Occupancy is how busy the back end beside this process is.
type Occupancy struct {
	// Level is the lowest priority that is admitted now.
	Level int
	// Load is the number of requests that the back end works on or that wait, as a
	// share of those that it works on at a time.
	Load float64
	// Faults is the share of requests that the back end failed by itself lately.
	Faults float64
}

// SetOccupancy sets the function that returns how busy the back end is.
func (p *Process) SetOccupancy(occupancy func(time.Time) Occupancy) { p.occupancy = occupancy }

// PublishMembers makes a new state of the mesh known. It is called on the
// control loop.
func (p *Process) PublishMembers(now time.Time, members []membership.Member) {
	p.Members.Store(&members)
	for _, changed := range p.onMembers {
		changed(now, members)
	}
}

// Context ends when the process has ended.
func (p *Process) Context() context.Context { return p.context }

// Reload puts changed seeds in force.
func (p *Process) Reload(seeds []string) {
	p.Loop.Post(func(time.Time) { p.Mesh.SetSeeds(seeds) })
}

// Ready reports whether the process takes requests.
func (p *Process) Ready() bool { return p.ready.Load() }

// Leaving reports whether the process was told to stop.
func (p *Process) Leaving() bool { return p.leaving.Load() }

// Announced reports whether a process that was told to stop has told its peers that it
// leaves. Until then they go on sending calls for its back end.
func (p *Process) Announced() bool { return p.announced.Load() }

// Draining reports whether the process refuses new requests.
func (p *Process) Draining() bool { return p.draining.Load() }

// Status returns what the process knows of itself and the mesh.
func (p *Process) Status() wire.Status {
	status := wire.Status{
		ID:        p.ID,
		Role:      string(p.Settings.Role),
		Region:    p.Settings.Region,
		Zone:      p.Settings.Zone,
		Service:   p.Settings.Service,
		Ready:     p.Ready(),
		Leaving:   p.Leaving(),
		Revisions: p.Documents.Revisions(),
		Members:   *p.Members.Load(),
		InFlight:  p.inFlight.Load(),
	}
	for _, fill := range p.onStatus {
		fill(&status)
	}
	return status
}
