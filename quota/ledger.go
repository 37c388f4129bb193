package quota

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Ledger admits the requests that tenants make at one process. It is not safe for
// concurrent use.
type Ledger struct {
	config    Config
	seed      uint64
	processes float64             // that share the quotas
	accounts  map[string]*account // by tenant, of those with a quota
	reporting map[string]Usage    // in the report that is on its way
	answered  time.Time           // when the last report that was answered was sent, zero: none yet
	failed    bool                // the last report was not answered
}

// account is what a Ledger knows of one tenant.
type account struct {
	quota      Quota
	unreported int     // admitted requests that are in no answered report
	offered    int     // the same of all requests
	admit      float64 // share of the requests to admit, as the coordinator says
	credit     float64 // collects admit with each request; one is admitted at 1
	ownShare   bucket  // the equal share of this process
	onOwnShare bool    // the last request was decided by it
	random     *rand.Rand
	recent     tally
}

// NewLedger returns a Ledger of a process that has heard nothing yet. seed is that of its
// random choices, which must differ from those of other processes.
func NewLedger(config Config, seed uint64) *Ledger {
	return &Ledger{config: config, seed: seed, processes: 1, accounts: map[string]*account{}}
}

// SetQuotas puts the quotas of a policy in force. Tenants without one are not listed.
func (l *Ledger) SetQuotas(now time.Time, quotas map[string]Quota) {
	for tenant := range l.accounts {
		if _, exists := quotas[tenant]; !exists {
			delete(l.accounts, tenant)
		}
	}
	for tenant, quota := range quotas {
		if known, exists := l.accounts[tenant]; exists {
			known.quota = quota
			continue
		}
		created := &account{quota: quota, admit: 1, ownShare: bucket{updated: now}}
		created.random = rand.New(rand.NewPCG(l.seed, xxhash.Sum64String(tenant)))
		created.ownShare.level = l.ownCapacity(created)
		l.accounts[tenant] = created
	}
}

// SetProcesses sets the number of processes that share the quotas. Too high a number is
// safe, too low a one is not.
func (l *Ledger) SetProcesses(processes int) { l.processes = float64(max(processes, 1)) }

// Refund takes back an admitted request that did not run.
func (l *Ledger) Refund(tenant string) {
	// One that was reported already is not given back: the tenant gets it with its rate.
	if a, bounded := l.accounts[tenant]; bounded && a.unreported > 0 {
		a.unreported--
	}
}

// AwaitsFirstAnswer reports whether no report has been answered yet, as in a process that
// has just started.
func (l *Ledger) AwaitsFirstAnswer() bool { return l.answered.IsZero() }

// CutOff reports whether the process has not been answered for so long that a coordinator
// counts it as silent.
func (l *Ledger) CutOff(now time.Time) bool {
	return l.answered.IsZero() || now.Sub(l.answered) > l.config.silence()
}

// BeginReport returns what is to be reported. It must be ended by ReportAnswered or
// ReportFailed before another one begins.
func (l *Ledger) BeginReport(process string) Report {
	report := Report{Process: process, Alone: l.failed}
	l.reporting = map[string]Usage{}
	for tenant, a := range l.accounts {
		if a.offered == 0 && a.unreported == 0 {
			continue
		}
		usage := Usage{Tenant: tenant, Admitted: a.unreported, Offered: a.offered, Throttled: a.admit < 1}
		report.Usage = append(report.Usage, usage)
		l.reporting[tenant] = usage
	}
	return report
}

// ReportAnswered ends a report that was answered. sent is when the report was sent. It
// returns the tenants of which only a share is admitted from now on, and those of which
// everything is again.
func (l *Ledger) ReportAnswered(sent time.Time, answer Answer) (changed []Share) {
	l.failed = false
	if !answer.Again || !l.answered.IsZero() {
		// A process that has just started goes by its equal shares until its coordinator
		// can judge: after a mass kill, nobody knows who is near a quota.
		l.answered = sent
	}
	l.settleReported()
	return l.setShares(answer.Shares)
}

// settleReported takes what an answered report said off the counts.
func (l *Ledger) settleReported() {
	for tenant, usage := range l.reporting {
		if a, bounded := l.accounts[tenant]; bounded {
			a.unreported = max(a.unreported-usage.Admitted, 0)
			a.offered = max(a.offered-usage.Offered, 0)
		}
	}
	l.reporting = nil
}

// setShares puts the shares of an answer in force and returns those that throttle a tenant
// or end that.
func (l *Ledger) setShares(shares []Share) (changed []Share) {
	admits := make(map[string]float64, len(shares))
	for _, share := range shares {
		admits[share.Tenant] = share.Admit
	}
	for tenant, a := range l.accounts {
		admit, throttled := admits[tenant]
		if !throttled {
			admit = 1
		}
		if (admit < 1) != (a.admit < 1) {
			changed = append(changed, Share{Tenant: tenant, Admit: admit})
			a.credit = a.random.Float64() // so that processes do not admit in step
		}
		a.admit = admit
	}
	return changed
}

// ReportFailed ends a report that was not answered. What it said is reported again; if it
// had arrived, it counts twice, which refuses a little more than needed.
func (l *Ledger) ReportFailed() { l.reporting, l.failed = nil, true }
