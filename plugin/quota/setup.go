// Package quota holds the requests of tenants within their quotas over the whole mesh.
// The decisions are made by package quota at the root; this package counts the requests
// that enter here, reports them to the process that adds up what all have counted, and
// answers the reports of others.
package quota

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/membership"
	"github.com/loomcleat/loomcleat/quota"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/wire"
)

const name = "quota"

func init() { kernel.Register(name, kernel.StageTraffic, setup) }

const (
	// leastProcesses is the number of processes that are assumed to share a quota while
	// this one has just started and may not know all others.
	leastProcesses = 16
	// joinTime is how long that is: as long as membership looks for a mesh.
	joinTime = 5 * time.Second
	// tickInterval is the time between two looks at what changes by time: the processes
	// that count, and quotas that were lowered.
	tickInterval = 500 * time.Millisecond
)

func setup(process *kernel.Process) error {
	s := process.Settings.Quota
	config := quota.Config{
		Window:    s.Window.Std(),
		Overshoot: s.Overshoot,
		Slack:     float64(s.Slack),
		Interval:  s.Interval.Std(),
	}
	k := &keeper{
		process: process,
		config:  config,
		client:  process.NewControlClient(connectionIdle),
		ledger:  quota.NewLedger(config, rand.Uint64()),
		pool:    quota.NewPool(config),
		easing:  quota.NewEasing(config.Window),
		wake:    make(chan struct{}, 1),
		avoided: map[string]time.Time{},
		census:  census{forgetAfter: forgetAfter(process), seen: map[string]time.Time{}},
	}
	k.setProcesses(leastProcesses)
	process.UseOutbound(name, k.middleware)
	process.OnMembers(k.countProcesses)
	process.Loop.Every(tickInterval, k.tick)
	process.Documents.Subscribe(wire.DocumentPolicy, k.adopt)
	process.HandleControl("POST "+wire.PathQuota, k.serveReport)
	process.HandleControl("GET "+wire.PathTenants, k.serveTenants)
	if config.Interval > 0 {
		process.OnStart(k.report)
	}
	return nil
}

// forgetAfter is how long a process that is gone may still use its share of a quota: until
// it refuses all requests with keys, and a window more. 0: for as long as it is remembered.
func forgetAfter(process *kernel.Process) time.Duration {
	revocation := process.Settings.KeyRevocation.Std()
	if revocation == 0 {
		return 0
	}
	return revocation + process.Settings.Quota.Window.Std()
}

// keeper keeps the quotas of one process.
type keeper struct {
	process *kernel.Process
	config  quota.Config
	client  *kernel.ControlClient
	wake    chan struct{} // a report is due ahead of time
	// Of the control loop.
	census   census
	easing   *quota.Easing
	changing bool // quotas change by time

	mutex  sync.Mutex
	ledger *quota.Ledger
	pool   *quota.Pool

	// Of the goroutine that reports.
	avoided map[string]time.Time // coordinators, until when
	last    string               // coordinator that answered, "" for none
	again   bool                 // it asked for the next report soon
}

func (k *keeper) middleware(next kernel.Handler) kernel.Handler {
	return kernel.HandlerFunc(func(call *kernel.Call) (*kernel.Answer, error) {
		if call.Tenant == "" {
			return next.Handle(call)
		}
		decision := k.admit(call.Tenant)
		if decision.Report {
			k.reportSoon()
		}
		if !decision.Admitted {
			return nil, result.New(result.QuotaExceeded, "tenant %s is beyond its quota, by %s", call.Tenant, decision.Basis).
				WithRetryAfter(decision.RetryAfter)
		}
		answer, err := next.Handle(call)
		if err != nil && result.From(err).NotRun() {
			k.refund(call.Tenant)
		}
		return answer, err
	})
}

func (k *keeper) admit(tenant string) quota.Decision {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.ledger.Admit(clock.Now().Time(), tenant)
}

func (k *keeper) refund(tenant string) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.ledger.Refund(tenant)
}

func (k *keeper) reportSoon() {
	select {
	case k.wake <- struct{}{}:
	default: // one is due already
	}
}

// adopt puts the quotas of a new policy in force. It runs on the control loop.
func (k *keeper) adopt(now time.Time, _ []byte) {
	quotas := map[string]quota.Quota{}
	for _, tenant := range k.process.Policy.Load().Tenants().List() {
		if tenant.Quota.Bounded() {
			quotas[tenant.Name] = quota.Quota{Rate: tenant.Quota.Rate, Burst: tenant.Quota.Burst}
		}
	}
	k.easing.Set(now, quotas)
	k.putInForce(now)
}

func (k *keeper) putInForce(now time.Time) {
	quotas, changing := k.easing.InForce(now)
	k.changing = changing
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.ledger.SetQuotas(now, quotas)
	k.pool.SetQuotas(quotas)
}

// tick runs on the control loop.
func (k *keeper) tick(now time.Time) {
	k.countProcesses(now, *k.process.Members.Load())
	if k.changing {
		k.putInForce(now)
	}
}

// countProcesses takes a new state of the mesh. It runs on the control loop.
func (k *keeper) countProcesses(now time.Time, members []membership.Member) {
	processes := k.census.count(now, members)
	if time.Since(k.process.Started) < joinTime {
		processes = max(processes, leastProcesses)
	}
	k.setProcesses(processes)
}

func (k *keeper) setProcesses(processes int) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.ledger.SetProcesses(processes)
	k.pool.SetProcesses(processes)
}
