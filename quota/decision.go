package quota

import "time"

// Decision is the result of checking a request against the quota of its tenant.
type Decision struct {
	Admitted bool
	// RetryAfter is the time after which a refused caller may succeed, 0 if unknown.
	RetryAfter time.Duration
	// Report requests an immediate report, since many requests are unreported.
	Report bool
	// Basis is the rule that decided.
	Basis Basis
}

// Basis names the rule behind a Decision. Its text is shown to refused callers.
type Basis string

// Bases of decisions.
const (
	// The tenant has no quota.
	Unbounded Basis = "unbounded"
	// The coordinator does not throttle the tenant.
	WithinQuota Basis = "within-pool"
	// The coordinator throttles the tenant to a share of its requests.
	CoordinatedShare Basis = "share-of-all"
	// The equal share of this process applies: no coordinator answers, or too many requests
	// are unreported.
	EqualShare Basis = "own-share"
)

// Admit decides on a request of a tenant and counts it.
func (l *Limiter) Admit(now time.Time, tenant string) Decision {
	a, hasQuota := l.accounts[tenant]
	if !hasQuota {
		return Decision{Admitted: true, Basis: Unbounded}
	}
	a.offered++
	decision := l.decide(now, a)
	if decision.Admitted {
		a.unreported++
	}
	a.recent.add(now, l.config.Window, decision.Admitted)
	decision.Report = a.unreported >= l.reportThreshold(a)
	return decision
}

// decide applies the rule for a request of a tenant with a quota:
//
//	no coordinator answers, or too many requests are unreported   limit to the equal share
//	the coordinator throttles the tenant                          admit the share that it sent
//	otherwise                                                     admit
//
// The equal share is a token bucket with 1/processes of the quota's rate and burst. Under a
// coordinator's share, one request in 1/share is admitted.
func (l *Limiter) decide(now time.Time, a *account) Decision {
	a.equalShare.fill(now, l.equalRate(a), l.equalCapacity(a)) // kept filled while it is not in use
	if l.mustUseEqualShare(now, a) {
		l.beginEqualShare(a)
		return Decision{Admitted: a.equalShare.take(), Basis: EqualShare, RetryAfter: a.equalShare.wait(l.equalRate(a))}
	}
	a.usesEqualShare = false
	if a.admitShare >= 1 {
		return Decision{Admitted: true, Basis: WithinQuota}
	}
	a.credit += a.admitShare
	if a.credit < 1 {
		return Decision{Basis: CoordinatedShare}
	}
	a.credit--
	return Decision{Admitted: true, Basis: CoordinatedShare}
}

// Limits for requests admitted without an answer.
const (
	// minimumReportThreshold is the minimum of reportThreshold. With a lower one, each
	// request of the many small tenants would cause a report.
	minimumReportThreshold = 3
	// unansweredReports is the multiple of reportThreshold that may be admitted without an
	// answer, to allow for reports in flight.
	unansweredReports = 2
	// fallbackTolerance is the share of the tolerance reserved for processes that fall back
	// to their equal shares.
	fallbackTolerance = 0.3
)

// mustUseEqualShare reports whether the coordinator's answer no longer applies: the last
// report failed, the last answer is too old, or too many requests were admitted since.
func (l *Limiter) mustUseEqualShare(now time.Time, a *account) bool {
	unanswered := a.unreported >= unansweredReports*l.reportThreshold(a)
	return l.failed || l.CutOff(now) || unanswered
}

// beginEqualShare limits the requests that a process admits at once when it falls back to its
// equal share: to its part of the burst and of fallbackTolerance. For a small tenant this is
// less than one request, so a random number decides whether the process admits one.
func (l *Limiter) beginEqualShare(a *account) {
	if a.usesEqualShare {
		return
	}
	a.usesEqualShare = true
	atOnce := (a.quota.Burst + fallbackTolerance*l.config.tolerance(a.quota)) / l.processes
	a.equalShare.level = min(a.equalShare.level, atOnce+a.random.Float64())
}

// equalRate returns the rate of the equal share, in requests per second.
func (l *Limiter) equalRate(a *account) float64 { return a.quota.Rate / l.processes }

// equalCapacity returns the burst of the equal share plus one request, since the share of a
// small tenant is less than one.
func (l *Limiter) equalCapacity(a *account) float64 { return a.quota.Burst/l.processes + 1 }

// reportThreshold returns the number of unreported requests at which a process reports ahead
// of time. If every process admits that many, the tolerance is used up.
func (l *Limiter) reportThreshold(a *account) int {
	return max(int(l.config.tolerance(a.quota)/l.processes), minimumReportThreshold)
}
