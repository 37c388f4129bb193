// Package quarantine refuses requests that crash the back ends which run them, once
// enough of them have. A node finds out when the back end beside it has ended, and tells
// all others which requests were lost with it. The decisions are made by package
// quarantine at the root.
package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/quarantine"
	"github.com/loomcleat/loomcleat/wire"
)

const name = "quarantine"

func init() { kernel.Register(name, kernel.StageServices, setup) }

// expireInterval is the time between two looks for ends that are too old.
const expireInterval = 10 * time.Second

func setup(process *kernel.Process) error {
	p := &plugin{
		process:  process,
		ledger:   quarantine.NewLedger(quarantine.Config{}),
		doubtful: make(chan struct{}, 1),
		unsaved:  make(chan struct{}, 1),
	}
	p.empty.Store(true)
	process.Quarantine = p
	process.HandleControl("GET "+wire.PathQuarantine, p.serveCrashes)
	process.HandleControl("POST "+wire.PathQuarantine, p.receiveCrashes)
	process.Loop.Every(expireInterval, p.expire)
	p.registerMetrics(process.Metrics)
	if !process.IsNode() {
		return nil
	}
	process.UseInbound(name, p.middleware)
	process.OnStart(p.watch)
	if process.Store != nil {
		process.OnStart(p.keepStored)
	}
	return nil
}

// plugin holds what one process knows of crashes, and stands beside the back end of a
// node.
type plugin struct {
	process  *kernel.Process
	doubtful chan struct{} // wakes the watch
	unsaved  chan struct{} // wakes whoever writes to the store
	watching atomic.Bool   // a request is under suspicion
	empty    atomic.Bool   // nothing is known, not even of what was cleared
	pulling  atomic.Bool
	crashed  atomic.Int64 // back ends of this node

	// Of a back end that gives its incarnations no names.
	unnamed      atomic.Int64 // number of the present one
	unnamedEnded atomic.Bool  // it has ended, and none has answered since

	mutex     sync.Mutex
	ledger    *quarantine.Ledger
	witness   quarantine.Witness
	doubt     doubt
	lastEnded string               // the incarnation of the last crash
	pulled    map[uint64]time.Time // digests that were looked into, and when

	ownCrashes map[string]bool
}

func (p *plugin) registerMetrics(registry *prometheus.Registry) {
	registry.MustRegister(
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "loomcleat_backend_crashes_total", Help: "Ends, unannounced, of the back end beside this node while it worked on requests.",
		}, func() float64 { return float64(p.crashed.Load()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "loomcleat_quarantined_requests", Help: "Requests that are refused since back ends crashed under them.",
		}, p.countQuarantined),
	)
}

func (p *plugin) countQuarantined() float64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return float64(p.ledger.Quarantined())
}

// expire runs on the control loop.
func (p *plugin) expire(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.ledger.Expire(now)
	p.publish()
}

// publish makes known, without the mutex, whether attempts and answers must be looked at.
// The mutex is held.
func (p *plugin) publish() {
	p.watching.Store(p.ledger.Watching())
	p.empty.Store(p.ledger.Empty())
}

// learn takes what is known of crashes and reports whether any of it was new.
func (p *plugin) learn(now time.Time, crashes []quarantine.Crash, from string) (news bool) {
	quarantined := []quarantine.Signature{}
	own := false
	p.mutex.Lock()
	for _, crash := range crashes {
		isNew, by := p.ledger.Report(now, crash)
		news = news || isNew
		quarantined = append(quarantined, by...)
	}
	for _, signature := range quarantined {
		own = own || slices.ContainsFunc(p.ledger.Ends(signature), p.isOwn)
	}
	p.publish()
	p.mutex.Unlock()
	for _, signature := range quarantined {
		p.process.Log.Emit(event.RequestQuarantined, "signature", signature, "from", from)
	}
	if own {
		p.save()
	}
	return news
}

// isOwn reports whether a crash was one of the back end beside this node. The nodes that
// lost a back end to a request write to the store that it is in quarantine: none of them
// alone, since the crash that completes the number may be any of theirs to the others.
func (p *plugin) isOwn(crash string) bool { return p.ownCrashes[crash] }

// noteOwn remembers a crash of the back end beside this node. The mutex is held.
func (p *plugin) noteOwn(crash string) {
	if len(p.ownCrashes) >= maximumOwnCrashes || p.ownCrashes == nil {
		p.ownCrashes = map[string]bool{}
	}
	p.ownCrashes[crash] = true
}

// maximumOwnCrashes bounds the crashes that are remembered as own ones.
const maximumOwnCrashes = 256
