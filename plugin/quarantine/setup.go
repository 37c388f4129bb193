// Package quarantine refuses requests that have crashed several back ends. A node detects
// crashes of its back end and reports to all other processes which requests were in flight.
// The root package quarantine decides which requests are refused.
//
// It owns the ledger of known crashes in this process, and the store entry that preserves
// quarantined requests across a restart of all processes. It relies on the heartbeats of the
// back end (plug-in instance) to distinguish its incarnations, on gossip to carry digests of
// the ledger, and on the list of members.
package quarantine

import (
	"sync"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/quarantine"
	"github.com/loomcleat/loomcleat/wire"
)

const name = "quarantine"

func init() { kernel.Register(name, kernel.StageServices, setup) }

func setup(process *kernel.Process) error {
	p := &plugin{
		process:  process,
		ledger:   quarantine.NewLedger(quarantine.Config{}),
		checkDue: make(chan struct{}, 1),
		saveDue:  make(chan struct{}, 1),
	}
	process.Quarantine = p
	process.HandleControl("GET "+wire.PathQuarantine, p.serveCrashes)
	process.HandleControl("POST "+wire.PathQuarantine, p.receiveCrashes)
	process.Loop.Every(expireInterval, p.expire)
	p.registerMetrics(process.Metrics)
	if !process.IsNode() {
		return nil
	}
	process.UseInbound(name, p.middleware)
	process.OnStart(p.detectCrashes)
	if process.Store != nil {
		process.OnStart(p.syncStore)
		process.OnStoreRestored(p.saveAgain)
	}
	return nil
}

// plugin is the state of the plug-in in one process.
type plugin struct {
	process *kernel.Process
	// Wakes detectCrashes.
	checkDue chan struct{}
	// Wakes syncStore.
	saveDue chan struct{}
	// Whether the ledger has suspects, for readers without the mutex.
	hasSuspects atomic.Bool
	// Crashes of this node's back end.
	crashCount atomic.Int64

	// Counter of the incarnations of a back end that sends no ids.
	unnamedIncarnation atomic.Int64
	// Whether such a back end has crashed and not answered since.
	unnamedCrashed atomic.Bool

	// Guards the fields below.
	mutex  sync.Mutex
	ledger *quarantine.Ledger
	// Requests without a complete answer, by incarnation.
	unanswered quarantine.UnansweredRequests
	check      crashCheck
	// The incarnation that crashed last at this node.
	lastCrashed string
	// Ids of the crashes of this node's back end.
	ownCrashes map[string]bool
	pulls      quarantine.Pulls
}

func (p *plugin) registerMetrics(registry *prometheus.Registry) {
	registry.MustRegister(
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "loomcleat_backend_crashes_total", Help: "Ends, unannounced, of the back end beside this node while it worked on requests.",
		}, func() float64 { return float64(p.crashCount.Load()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "loomcleat_quarantined_requests", Help: "Requests that are refused since back ends crashed under them.",
		}, p.countQuarantined),
	)
}

func (p *plugin) countQuarantined() float64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return float64(p.ledger.QuarantinedCount())
}
