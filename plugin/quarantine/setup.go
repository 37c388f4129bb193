// Package quarantine refuses requests that crash the back ends which run them, once
// enough of them have. A node finds out when the back end beside it has crashed, and tells
// all other processes which requests were lost with it.
//
// It owns what this process knows of crashes, and the entry of the store that keeps
// quarantined requests over a restart of all processes. The decisions are made by package
// quarantine at the root. It relies on the heartbeats of the back end (plugin instance) to
// tell its incarnations apart, on gossip to carry digests, and on the list of members.
package quarantine

import (
	"sync"
	"sync/atomic"
	"time"

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
		process.OnStart(p.keepStored)
	}
	return nil
}

// plugin holds what one process knows of crashes, and stands beside the back end of a
// node.
type plugin struct {
	process     *kernel.Process
	checkDue    chan struct{} // wakes detectCrashes
	saveDue     chan struct{} // wakes keepStored
	hasSuspects atomic.Bool   // of the ledger
	pulling     atomic.Bool   // a peer is asked for what it knows
	crashCount  atomic.Int64  // crashes of the back end beside this node

	// Of a back end that gives its incarnations no names.
	unnamed        atomic.Int64 // number of the present incarnation
	unnamedCrashed atomic.Bool  // it has crashed, and none has answered since

	mutex       sync.Mutex // guards what follows
	ledger      *quarantine.Ledger
	lost        quarantine.LostRequests
	check       crashCheck
	lastCrashed string               // the incarnation of the last crash beside this node
	ownCrashes  map[string]bool      // ids of the crashes beside this node
	pulled      map[uint64]time.Time // digests that a peer was asked about, and when
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
