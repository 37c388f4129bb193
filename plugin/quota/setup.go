// Package quota holds the requests of tenants within their quotas over the whole mesh: it
// counts the requests that enter here, reports them to the process that adds up what all
// have counted, and answers the reports of others when that is this one.
//
// It owns the counts of this process. The decisions are made by package quota at the root.
// It relies on plugin tenant for whom a request is, on the list of members for how many
// processes share a quota and which one coordinates, and on the policy for the quotas. Its
// reports also carry revisions, whose answers prove how new the policy is.
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
		process: process,
		config:  config,
		client:  process.NewControlClient(connectionIdle),
		ledger:  quota.NewLedger(config, rand.Uint64()),
		totals:  quota.NewCoordinator(config),
		grace:   quota.NewGracePeriod(config.Window),
		wake:    make(chan struct{}, 1),
		avoided: map[string]time.Time{},
		counter: newProcessCounter(forgetAfter(process)),
	}
	l.setProcesses(processesAtStart)
	process.UseOutbound(name, l.middleware)
	process.OnMembers(l.countProcesses)
	process.Loop.Every(tickInterval, l.tick)
	process.Documents.Subscribe(wire.DocumentPolicy, l.adopt)
	process.HandleControl("POST "+wire.PathQuota, l.serveReport)
	process.HandleControl("GET "+wire.PathTenants, l.serveTenants)
	if config.Interval > 0 {
		process.OnStart(l.report)
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

// limiter holds tenants within their quotas at one process.
type limiter struct {
	process *kernel.Process
	config  quota.Config
	client  *kernel.ControlClient
	wake    chan struct{} // a report is due ahead of time

	// Of the control loop.
	counter  processCounter
	grace    *quota.GracePeriod
	changing bool // quotas change by time

	mutex  sync.Mutex // guards what follows
	ledger *quota.Ledger
	totals *quota.Coordinator // used while this process is the coordinator

	// Of the goroutine that reports.
	avoided map[string]time.Time // coordinators that did not answer, until when
	last    string               // coordinator that answered, "" for none
	again   bool                 // it asked for the next report soon
}
