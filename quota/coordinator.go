package quota

import "time"

// Coordinator adds up what all processes of a mesh use of the quotas, and answers which
// tenants to throttle. It is not safe for concurrent use.
type Coordinator struct {
	config    Config
	processes float64              // that share the quotas
	quotas    map[string]Quota     // by tenant
	reported  map[string]time.Time // by process: its last report
	tenants   map[string]*usage    // by tenant, of those with a quota that were reported
	throttled map[string]*usage    // those of which only a share is admitted
	begun     time.Time            // the first report, zero: none yet
}

// usage is what a Coordinator knows of the requests of one tenant.
type usage struct {
	room   bucket // what is left of the quota; below 0 where it was exceeded
	demand demand
}

// NewCoordinator returns a Coordinator that has no report yet.
func NewCoordinator(config Config) *Coordinator {
	return &Coordinator{
		config:    config,
		processes: 1,
		reported:  map[string]time.Time{},
		tenants:   map[string]*usage{},
		throttled: map[string]*usage{},
	}
}

// SetQuotas puts the quotas of a policy in force. Tenants without one are not listed.
func (c *Coordinator) SetQuotas(quotas map[string]Quota) {
	c.quotas = quotas
	for tenant := range c.tenants {
		if _, exists := quotas[tenant]; !exists {
			delete(c.tenants, tenant)
			delete(c.throttled, tenant)
		}
	}
}

// SetProcesses sets the number of processes that share the quotas, with those that may be
// cut off. Too high a number is safe, too low a one is not.
func (c *Coordinator) SetProcesses(processes int) { c.processes = float64(max(processes, 1)) }

// Receive takes a report and answers it.
func (c *Coordinator) Receive(now time.Time, report Report) Answer {
	if report.Alone {
		delete(c.reported, report.Process) // it may not hear this answer either
	} else {
		c.reported[report.Process] = now
	}
	part := c.part(now)
	settling := c.settling(now)
	for _, used := range report.Usage {
		quota, bounded := c.quotas[used.Tenant]
		if !bounded {
			continue // of a policy that this process does not have yet, or no more
		}
		tenant := c.findOrAdd(now, used, quota, part)
		tenant.fill(now, quota, part)
		tenant.room.level -= float64(used.Admitted)
		tenant.demand.add(now, float64(used.Offered))
		if c.isNear(tenant, quota, part) && (used.Throttled || !settling) {
			c.throttled[used.Tenant] = tenant
		}
	}
	return Answer{Shares: c.shares(now, part), Again: settling}
}

// settling reports whether the Coordinator is so new that it cannot judge: while few
// processes have reported, it gives out a small part of each quota, of which the requests of
// one report may be more. It asks for another report then, and throttles only tenants that
// were throttled already, as the reports say.
func (c *Coordinator) settling(now time.Time) bool {
	if c.begun.IsZero() {
		c.begun = now
	}
	return now.Sub(c.begun) < c.config.Interval/settleDivisor
}

// settleDivisor makes the time in which a new Coordinator settles half an interval. All
// processes turn to it within some ten milliseconds after the one before has failed.
const settleDivisor = 2

// part returns the part of the quotas that this Coordinator gives out: the equal shares of
// the processes that report to it. All others keep to their own.
func (c *Coordinator) part(now time.Time) float64 {
	reporting := 0
	for process, last := range c.reported {
		if now.Sub(last) > c.config.silence() {
			delete(c.reported, process)
			continue
		}
		reporting++
	}
	return min(float64(reporting)/c.processes, 1)
}

// findOrAdd returns what is known of a tenant. One that is new here may have used its burst
// already, which another coordinator knew: processes that throttle it say so.
func (c *Coordinator) findOrAdd(now time.Time, used Usage, quota Quota, part float64) *usage {
	if known, exists := c.tenants[used.Tenant]; exists {
		return known
	}
	added := &usage{room: bucket{updated: now}}
	if !used.Throttled {
		added.room.level = firstRoom * capacity(quota, part)
	}
	c.tenants[used.Tenant] = added
	return added
}

// firstRoom is the part of its burst that a tenant has at a new coordinator. The one
// before may have let it use the rest a moment ago.
const firstRoom = 0.5

// fill adds to the room of a tenant what has come with its rate.
func (u *usage) fill(now time.Time, quota Quota, part float64) {
	u.room.fill(now, quota.Rate*part, capacity(quota, part))
}

// capacity is the most room that a tenant can have, in requests.
func capacity(quota Quota, part float64) float64 { return max(quota.Burst, 1) * part }
