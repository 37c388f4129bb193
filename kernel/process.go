package kernel

import (
	"context"
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
	ID       string    // new at each start
	Started  time.Time // by the wall clock
	Log      *event.Logger
	Loop     *Loop
	Store    store.Store       // nil: none
	Machines store.MachineList // nil: none
	Registry store.Registry    // nil: none
	Metrics  *prometheus.Registry
	Control  *ControlClient
	Dial     DialFunc // nil: a socket.Dialer
	Dialect  wire.Dialect
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
	BackEndLoad atomic.Pointer[ReportedLoad]
	// Documents and Mesh are set during set-up by plug-ins.
	Documents Documents
	Mesh      Mesh
	// Quarantine is set during set-up by a plug-in, nil without it.
	Quarantine Quarantine
	// BackEnd is set during set-up by a plug-in, nil when the back end sends no
	// heartbeats.
	BackEnd BackEnd

	hooks      hooks
	executions *executionTable
	splits     splitCounters
	identities identities
	endpoints  []Endpoint
	listeners  listeners
	servers    servers
	inbound    Handler
	outbound   Handler

	inFlight  atomic.Int64
	ready     atomic.Bool
	leaving   atomic.Bool
	announced atomic.Bool
	draining  atomic.Bool
	context   context.Context
	cancel    context.CancelFunc
	stopOnce  sync.Once
	stopped   chan struct{}
}

// New binds the listeners of a process and sets up its plug-ins. Nothing is
// served before Start.
func New(options Options) (*Process, error) {
	if err := clock.Check(); err != nil {
		return nil, err
	}
	p := newProcess(options)
	if err := p.listen(); err != nil {
		return nil, err
	}
	p.servers = newServers(p)
	if err := setUpPlugins(p); err != nil {
		p.listeners.close()
		return nil, err
	}
	p.inbound = buildChain(InboundChain, p.hooks.inbound)
	p.outbound = buildChain(OutboundChain, p.hooks.outbound)
	return p, nil
}

// newProcess returns a process without listeners and plug-ins.
func newProcess(options Options) *Process {
	p := &Process{
		Settings:  options.Settings,
		ID:        newProcessID(options.Settings),
		Started:   time.Now(),
		Log:       options.Log,
		Loop:      newLoop(),
		Store:     options.Store,
		Machines:  options.Machines,
		Registry:  options.Registry,
		Metrics:   prometheus.NewRegistry(),
		Dial:      options.Dial,
		Dialect:   options.Dialect,
		endpoints: options.Endpoints,
		hooks:     newHooks(),
		stopped:   make(chan struct{}),
	}
	p.context, p.cancel = context.WithCancel(context.Background())
	p.Policy.Store(policy.NewIndex(nil))
	p.Members.Store(&[]membership.Member{})
	p.executions = newExecutionTable(p.ID)
	p.identities.setUp()
	p.Control = newControlClient(&p.Counters, options.Dial, controlIdleTimeout)
	p.Counters.register(p.Metrics)
	return p
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
