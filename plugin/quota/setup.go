// Package quota limits the requests of tenants to their quotas over the whole mesh. Each process
// counts the requests that it admits and reports the counts to one process, the coordinator, which
// adds them up and answers which tenants to throttle. Package quota at the root makes the
// decisions.
//
// This package owns the counts of this process, and the totals while this process is the
// coordinator. It relies on plug-in tenant for the tenant of a request, on the member list for the
// number of processes and the coordinator, and on the policy for the quotas. Reports and answers
// also carry revisions of documents; an answer proves how recent the policy is.
package quota

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/quota"
	"github.com/loomcleat/loomcleat/wire"
)

const name = "quota"

func init() { kernel.Register(name, kernel.StageTraffic, setup) }

func setup(process *kernel.Process) error {
	s := process.Settings.Quota
	config := quota.Config{
		Window:    s.Window.Std(),
		Overshoot: s.Overshoot,
		Slack:     float64(s.Slack),
		Interval:  s.Interval.Std(),
	}
	l := &limiter{
		process:   process,
		config:    config,
		client:    process.NewControlClient(idleTimeout),
		limiter:   quota.NewLimiter(config, rand.Uint64()),
		totals:    quota.NewCoordinator(config),
		grace:     quota.NewGracePeriod(config.Window),
		wake:      make(chan struct{}, 1),
		skipUntil: map[string]time.Time{},
		counter:   newProcessCounter(forgetAfter(process)),
	}
	l.setProcesses(processesAtStart)
	process.UseOutbound(name, l.middleware)
	process.OnMembers(l.countProcesses)
	process.Loop.Every(tickInterval, l.tick)
	process.Documents.Subscribe(wire.DocumentPolicy, l.applyPolicy)
	process.HandleControl("POST "+wire.PathQuota, l.serveReport)
	process.HandleControl("GET "+wire.PathTenants, l.serveTenants)
	if config.Interval > 0 {
		process.OnStart(l.reportLoop)
	}
	return nil
}

// forgetAfter returns how long a process that is dead to this one may still use its share of a
// quota: until it refuses all requests with keys, plus one window. 0 means for as long as
// membership remembers the process.
func forgetAfter(process *kernel.Process) time.Duration {
	revocation := process.Settings.KeyRevocation.Std()
	if revocation == 0 {
		return 0
	}
	return revocation + process.Settings.Quota.Window.Std()
}

// limiter limits tenants to their quotas at one process.
type limiter struct {
	process *kernel.Process
	config  quota.Config
	client  *kernel.ControlClient
	// Signals that a report is due before the interval has passed.
	wake chan struct{}

	// Owned by the control loop.
	counter processCounter
	grace   *quota.GracePeriod
	// Whether lowered quotas are still to come into force.
	changing bool

	// Guards limiter and totals.
	mutex   sync.Mutex
	limiter *quota.Limiter
	// Used while this process is the coordinator.
	totals *quota.Coordinator

	// Owned by the goroutine that reports.

	// Time until which a coordinator that did not answer is skipped, by process id.
	skipUntil map[string]time.Time
	// Coordinator that answered last, "" for none.
	lastCoordinator string
	// Whether that answer asked for the next report soon.
	reportAgain bool
}
