package quota

import "time"

// Decision says what becomes of a request.
type Decision struct {
	Admitted bool
	// RetryAfter is the time after which a refused caller may find room, 0 when that is
	// not known.
	RetryAfter time.Duration
	// Report asks for a report at once: much is unreported.
	Report bool
	// Basis is what decided.
	Basis Basis
}

// Basis is what a Decision rests on. Refused callers are told it.
type Basis string

// Bases of decisions.
const (
	Unbounded   Basis = "unbounded"    // the tenant has no quota
	WithinQuota Basis = "within-pool"  // the coordinator says that there is room
	ShareOfAll  Basis = "share-of-all" // a share of all requests, as the coordinator says
	OwnShare    Basis = "own-share"    // the equal share of this process: nobody answers, or much is unreported
)

// Admit decides on a request of a tenant and counts it.
func (l *Ledger) Admit(now time.Time, tenant string) Decision {
	a, bounded := l.accounts[tenant]
	if !bounded {
		return Decision{Admitted: true, Basis: Unbounded}
	}
	a.offered++
	decision := l.decide(now, a)
	if decision.Admitted {
		a.unreported++
	}
	a.recent.add(now, l.config.Window, decision.Admitted)
	decision.Report = a.unreported >= l.reportAt(a)
	return decision
}

// decide is the rule for a request of a tenant with a quota:
//
//	the coordinator does not answer, or too much is unreported    by the equal share
//	the coordinator lists the tenant as near its quota            by the share that it gives
//	otherwise                                                     admitted
//
// The equal share is a bucket of 1/processes of the quota's rate and burst. By the share of
// the coordinator, every 1/share-th request is admitted.
func (l *Ledger) decide(now time.Time, a *account) Decision {
	a.ownShare.fill(now, l.ownRate(a), l.ownCapacity(a)) // also while it does not decide
	if l.mustUseOwnShare(now, a) {
		l.beginOwnShare(a)
		return Decision{Admitted: a.ownShare.take(), Basis: OwnShare, RetryAfter: a.ownShare.wait(l.ownRate(a))}
	}
	a.onOwnShare = false
	if a.admit >= 1 {
		return Decision{Admitted: true, Basis: WithinQuota}
	}
	a.credit += a.admit
	if a.credit < 1 {
		return Decision{Basis: ShareOfAll}
	}
	a.credit--
	return Decision{Admitted: true, Basis: ShareOfAll}
}

// Bounds of what is admitted without an answer.
const (
	// leastUnreported is the least number of requests of a tenant at which a process
	// reports ahead of time. With fewer, each request of the many small tenants would
	// make a report.
	leastUnreported = 3
	// unansweredReports is how many times reportAt may be admitted without an answer, for
	// reports that are on their way.
	unansweredReports = 2
	// fallbackTolerance is the part of the tolerance that is for processes which fall back
	// to their equal shares.
	fallbackTolerance = 0.3
)

// mustUseOwnShare reports whether the word of the coordinator does not count: the last
// report failed, the last answer is too old, or too much was admitted since.
func (l *Ledger) mustUseOwnShare(now time.Time, a *account) bool {
	unanswered := a.unreported >= unansweredReports*l.reportAt(a)
	return l.failed || l.CutOff(now) || unanswered
}

// beginOwnShare bounds what a process admits at once when it falls back to its equal share:
// its part of the burst, and of fallbackTolerance. Of a small tenant that is less than one
// request, which some processes admit by chance.
func (l *Ledger) beginOwnShare(a *account) {
	if a.onOwnShare {
		return
	}
	a.onOwnShare = true
	atOnce := (a.quota.Burst + fallbackTolerance*l.config.tolerance(a.quota)) / l.processes
	a.ownShare.level = min(a.ownShare.level, atOnce+a.random.Float64())
}

// ownRate is the rate of the equal share, in requests a second.
func (l *Ledger) ownRate(a *account) float64 { return a.quota.Rate / l.processes }

// ownCapacity is the burst of the equal share, rounded up: of a small tenant, one request.
func (l *Ledger) ownCapacity(a *account) float64 { return a.quota.Burst/l.processes + 1 }

// reportAt is the number of unreported requests at which a process reports ahead of time:
// if all processes admit so many, the tolerance is used up.
func (l *Ledger) reportAt(a *account) int {
	return max(int(l.config.tolerance(a.quota)/l.processes), leastUnreported)
}
