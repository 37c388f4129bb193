package quota

import "time"

// Coordinator sums the usage of quotas over all processes of a mesh and determines which
// tenants to throttle. It is not safe for concurrent use.
type Coordinator struct {
	config Config
	// Number of processes that share the quotas.
	processes float64
	// By tenant.
	quotas map[string]Quota
	// Time of the last report, by process.
	lastReport map[string]time.Time
	// Usage by tenant, for tenants that have a quota and appeared in a report.
	tenants map[string]*usage
	// The subset of tenants of which only a share of the requests is admitted.
	throttled map[string]*usage
	// Time of the first report, zero before it.
	firstReport time.Time
}

// usage is a Coordinator's view of the requests of one tenant.
type usage struct {
	// Remaining quota in requests, negative after the quota was exceeded.
	remaining bucket
	demand    demand
}

// NewCoordinator returns a Coordinator that has not received a report yet.
func NewCoordinator(config Config) *Coordinator {
	return &Coordinator{
		config:     config,
		processes:  1,
		lastReport: map[string]time.Time{},
		tenants:    map[string]*usage{},
		throttled:  map[string]*usage{},
	}
}

// SetQuotas replaces the quotas by those of a policy. Tenants without a quota are not listed.
func (c *Coordinator) SetQuotas(quotas map[string]Quota) {
	c.quotas = quotas
	for tenant := range c.tenants {
		if _, exists := quotas[tenant]; !exists {
			delete(c.tenants, tenant)
			delete(c.throttled, tenant)
		}
	}
}

// SetProcesses sets the number of processes that share the quotas, including processes that
// may be cut off. Too high a number is safe: less is admitted. Too low a number lets tenants
// exceed their quotas.
func (c *Coordinator) SetProcesses(processes int) { c.processes = float64(max(processes, 1)) }

// Receive processes a report and returns the answer to it.
func (c *Coordinator) Receive(now time.Time, report Report) Answer {
	if report.UsesEqualShares {
		delete(c.lastReport, report.Process) // the process may not receive this answer either
	} else {
		c.lastReport[report.Process] = now
	}
	reportingShare := c.reportingShare(now)
	settling := c.settling(now)
	for _, used := range report.Usage {
		quota, hasQuota := c.quotas[used.Tenant]
		if !hasQuota {
			continue // the quota is in a policy that this process does not have yet or no longer has
		}
		tenant := c.findOrAdd(now, used, quota, reportingShare)
		tenant.fill(now, quota, reportingShare)
		tenant.remaining.level -= float64(used.Admitted)
		tenant.demand.add(now, float64(used.Offered))
		if c.isNearQuota(tenant, quota, reportingShare) && (used.Throttled || !settling) {
			c.throttled[used.Tenant] = tenant
		}
	}
	return Answer{Shares: c.shares(now, reportingShare), ReportAgain: settling}
}

// settling reports whether the Coordinator is too new to judge. While few processes have
// reported, it distributes a small share of each quota, and the requests in a single report
// may exceed that. It therefore asks for another report soon, and throttles only tenants
// that the reporting processes already throttle.
func (c *Coordinator) settling(now time.Time) bool {
	if c.firstReport.IsZero() {
		c.firstReport = now
	}
	return now.Sub(c.firstReport) < c.config.Interval/settleDivisor
}

// settleDivisor makes the settling time half an interval: after a coordinator has failed,
// all processes report to the next one well within that time.
const settleDivisor = 2

// reportingShare returns the share of the quotas that this Coordinator distributes: the equal
// shares of the processes that report to it. All other processes use their own equal shares.
func (c *Coordinator) reportingShare(now time.Time) float64 {
	reporting := 0
	for process, last := range c.lastReport {
		if now.Sub(last) > c.config.silenceTimeout() {
			delete(c.lastReport, process)
			continue
		}
		reporting++
	}
	return min(float64(reporting)/c.processes, 1)
}

// findOrAdd returns the usage of a tenant. A tenant that is new to this Coordinator may
// already have used its burst under another coordinator; processes that throttle the tenant
// report that, and it then starts without a burst.
func (c *Coordinator) findOrAdd(now time.Time, used Usage, quota Quota, reportingShare float64) *usage {
	if known, exists := c.tenants[used.Tenant]; exists {
		return known
	}
	added := &usage{remaining: bucket{updated: now}}
	if !used.Throttled {
		added.remaining.level = initialBurstShare * capacity(quota, reportingShare)
	}
	c.tenants[used.Tenant] = added
	return added
}

// initialBurstShare is the share of its burst that a tenant starts with at a new coordinator.
// The rest may have been used under the previous coordinator.
const initialBurstShare = 0.5

// fill refills the remaining quota of a tenant at its rate.
func (u *usage) fill(now time.Time, quota Quota, reportingShare float64) {
	u.remaining.fill(now, quota.Rate*reportingShare, capacity(quota, reportingShare))
}

// capacity returns the maximum remaining quota of a tenant, in requests.
func capacity(quota Quota, reportingShare float64) float64 {
	return max(quota.Burst, 1) * reportingShare
}
