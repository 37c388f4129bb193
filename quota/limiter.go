package quota

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limiter admits or refuses the requests that tenants make at one process. It is not safe for
// concurrent use.
type Limiter struct {
	config Config
	seed   uint64
	// Number of processes that share the quotas.
	processes float64
	// By tenant, for tenants with a quota.
	accounts map[string]*account
	// Contents of the report in flight, by tenant.
	reporting map[string]Usage
	// Sending time of the last report that was answered, zero before the first answer.
	lastAnswered time.Time
	// Whether the last report failed.
	failed bool
}

// account holds the counters and the throttling state of one tenant.
type account struct {
	quota Quota
	// Admitted requests not yet in an answered report.
	unreported int
	// All requests not yet in an answered report, refused ones included.
	offered int
	// Share of the requests to admit, as set by the coordinator.
	admitShare float64
	// Accumulates admitShare with each request. At 1, a request is admitted and 1 subtracted.
	credit float64
	// Token bucket of this process's equal share.
	equalShare bucket
	// Whether the last request was decided by the equal share.
	usesEqualShare bool
	random         *rand.Rand
	recent         tally
}

// NewLimiter returns a Limiter of a process whose reports have not been answered yet. The seed
// of its random choices must differ between processes.
func NewLimiter(config Config, seed uint64) *Limiter {
	return &Limiter{config: config, seed: seed, processes: 1, accounts: map[string]*account{}}
}

// SetQuotas replaces the quotas by those of a policy. Tenants without a quota are not listed.
func (l *Limiter) SetQuotas(now time.Time, quotas map[string]Quota) {
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
		created := &account{quota: quota, admitShare: 1, equalShare: bucket{updated: now}}
		created.random = rand.New(rand.NewPCG(l.seed, xxhash.Sum64String(tenant)))
		created.equalShare.level = l.equalCapacity(created)
		l.accounts[tenant] = created
	}
}

// SetProcesses sets the number of processes that share the quotas. Too high a number is safe:
// less is admitted. Too low a number lets tenants exceed their quotas.
func (l *Limiter) SetProcesses(processes int) { l.processes = float64(max(processes, 1)) }

// Refund removes an admitted request that did not run from the count of unreported ones.
func (l *Limiter) Refund(tenant string) {
	// A request that was already reported is not refunded; the rate of the quota makes up for it.
	if a, hasQuota := l.accounts[tenant]; hasQuota && a.unreported > 0 {
		a.unreported--
	}
}

// AwaitsFirstAnswer reports whether no report has been answered yet, as in a process that
// has just started.
func (l *Limiter) AwaitsFirstAnswer() bool { return l.lastAnswered.IsZero() }

// CutOff reports whether the last answer is so old, or missing, that a coordinator considers
// this process silent.
func (l *Limiter) CutOff(now time.Time) bool {
	return l.lastAnswered.IsZero() || now.Sub(l.lastAnswered) > l.config.silenceTimeout()
}

// BeginReport returns the next report. ReportAnswered or ReportFailed must be called before
// the next BeginReport.
func (l *Limiter) BeginReport(process string) Report {
	report := Report{Process: process, UsesEqualShares: l.failed}
	l.reporting = map[string]Usage{}
	for tenant, a := range l.accounts {
		if a.offered == 0 && a.unreported == 0 {
			continue
		}
		usage := Usage{Tenant: tenant, Admitted: a.unreported, Offered: a.offered, Throttled: a.admitShare < 1}
		report.Usage = append(report.Usage, usage)
		l.reporting[tenant] = usage
	}
	return report
}

// ReportAnswered completes the report in flight. sent is the time at which it was sent.
// changed holds the tenants whose throttling begins, and those whose throttling ends, with a
// share of 1.
func (l *Limiter) ReportAnswered(sent time.Time, answer Answer) (changed []Share) {
	l.failed = false
	if !answer.ReportAgain || !l.lastAnswered.IsZero() {
		// A process that has just started uses its equal shares until the coordinator has
		// settled: after a mass failure, no process knows which tenants are near their quota.
		l.lastAnswered = sent
	}
	l.subtractReported()
	return l.setShares(answer.Shares)
}

// subtractReported removes the contents of an answered report from the counters.
func (l *Limiter) subtractReported() {
	for tenant, usage := range l.reporting {
		if a, hasQuota := l.accounts[tenant]; hasQuota {
			a.unreported = max(a.unreported-usage.Admitted, 0)
			a.offered = max(a.offered-usage.Offered, 0)
		}
	}
	l.reporting = nil
}

// setShares applies the shares of an answer and returns those by which the throttling of a
// tenant begins or ends.
func (l *Limiter) setShares(shares []Share) (changed []Share) {
	admits := make(map[string]float64, len(shares))
	for _, share := range shares {
		admits[share.Tenant] = share.Admit
	}
	for tenant, a := range l.accounts {
		admitShare, throttled := admits[tenant]
		if !throttled {
			admitShare = 1
		}
		if (admitShare < 1) != (a.admitShare < 1) {
			changed = append(changed, Share{Tenant: tenant, Admit: admitShare})
			a.credit = a.random.Float64() // desynchronizes the processes
		}
		a.admitShare = admitShare
	}
	return changed
}

// ReportFailed ends a report that was not answered. Its contents are reported again. If the
// report did arrive, they count twice, and slightly more requests than necessary are refused.
func (l *Limiter) ReportFailed() { l.reporting, l.failed = nil, true }
