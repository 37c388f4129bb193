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
	"github.com/loomcleat/loomcleat/ratelimit"
	"github.com/loomcleat/loomcleat/settings"
	"github.com/loomcleat/loomcleat/store"
	"github.com/loomcleat/loomcleat/wire"
)

// Process is a loomcleat process, a node or a gateway.
type Process struct {
	Settings settings.Settings
	ID       string    // unique for each start
	Started  time.Time // wall clock time
	Log      *event.Logger
	Loop     *Loop
	Store    store.Store       // nil when there is none
	Machines store.MachineList // nil when there is none
	Registry store.Registry    // nil when there is none
	Metrics  *prometheus.Registry
	Control  *ControlClient
	Dial     DialFunc // nil for a socket.Dialer
	Dialect  wire.Dialect
	Counters Counters

	// Policy is the policy tree in force.
	Policy atomic.Pointer[policy.Index]
	// Members are the known members of the mesh in the order of their IDs.
	Members atomic.Pointer[[]membership.Member]
	// MachineState is the last reading of the machine list. It is nil before the first
	// reading and in processes that do not poll the list.
	MachineState atomic.Pointer[MachineState]
	// BackEndLoad is the last load reported by the back end of this node, nil when it
	// has reported none.
	BackEndLoad atomic.Pointer[ReportedLoad]
	// RateLimit paces the requests to the back end of this node by the limit that it declares.
	RateLimit *ratelimit.Limiter
	// Documents and Mesh are set by plug-ins during set-up.
	Documents Documents
	Mesh      Mesh
	// Quarantine is set by a plug-in during set-up. It is nil without that plug-in.
	Quarantine Quarantine
	// BackEnd is set by a plug-in during set-up. It is nil when the back end sends no
	// heartbeats.
	BackEnd BackEnd

	hooks      hooks
	storeEra   storeEra
	executions *executionTable
	splits     splitCounters
	identities identities
	endpoints  []Endpoint
	listeners  listeners
	servers    servers
	inbound    Handler
	outbound   Handler

	inFlight       atomic.Int64
	ready          atomic.Bool
	leaving        atomic.Bool
	leaveAnnounced atomic.Bool
	draining       atomic.Bool
	stopDeadline   stopDeadline
	context        context.Context
	cancel         context.CancelFunc
	stopOnce       sync.Once
	stopped        chan struct{}
}

// New binds the listeners of a process and sets up its plug-ins. The process serves
// requests after Start.
func New(options Options) (*Process, error) {
	if err := clock.Check(); err != nil {
		return nil, err
	}
	p := newProcess(options)
	if err := p.listen(options.Listen); err != nil {
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
		RateLimit: &ratelimit.Limiter{},
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

// newProcessID returns an ID that is unique for each start: a restarted process has lost
// its claims and must not be taken for the previous one.
func newProcessID(s settings.Settings) string {
	name := s.ID
	if name == "" {
		name = string(s.Role)
	}
	return name + "-" + uuid.NewString()[:13]
}

// IsNode reports whether this process is a node, which runs beside a back end.
func (p *Process) IsNode() bool { return p.Settings.Role == settings.RoleNode }

// Context returns a context that is cancelled when the process stops.
func (p *Process) Context() context.Context { return p.context }

// SetSeeds replaces the seed addresses. It waits until they are in force, or until the process
// stops.
func (p *Process) SetSeeds(seeds []string) {
	// The only error is that the process has stopped, so that it needs no seeds.
	_ = p.Loop.Do(p.context, func(time.Time) { p.Mesh.SetSeeds(seeds) })
}

// Ready reports whether the readiness conditions have been met. It stays true while the
// process stops.
func (p *Process) Ready() bool { return p.ready.Load() }

// Leaving reports whether Stop was called.
func (p *Process) Leaving() bool { return p.leaving.Load() }

// LeaveAnnounced reports whether a stopping process has announced to its peers that it leaves.
// Until then they keep sending calls to its back end.
func (p *Process) LeaveAnnounced() bool { return p.leaveAnnounced.Load() }

// Draining reports whether the process refuses new requests.
func (p *Process) Draining() bool { return p.draining.Load() }
