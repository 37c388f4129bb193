package quota

import "time"

// Bounds in which a tenant may exceed its quota before it is throttled. What is left of
// the tolerance covers what is admitted until all processes have heard. A part of the
// slack lets small tenants have two or three requests at once, which is no sign that they exceed their quota.
// TestQuotasHoldWhateverFails and TestReportsStayFew hold both.
const (
	nearShare = 0.05 // of the tolerance
	nearSlack = 0.2  // of the slack
)

// isNear reports whether a tenant is so near its quota that it would exceed it before
// all processes have reported again.
func (c *Coordinator) isNear(u *usage, quota Quota, part float64) bool {
	throttleAt := -part * (nearShare*c.config.tolerance(quota) + nearSlack*c.config.Slack)
	return c.forecast(u, quota, part) < throttleAt
}

// forecast is the room that is left an interval from now, if demand stays as it is.
func (c *Coordinator) forecast(u *usage, quota Quota, part float64) float64 {
	excess := max(u.demand.rate()-quota.Rate*part, 0)
	return u.room.level - excess*c.config.Interval.Seconds()
}

// returnTime is the time in which room that is too little, or too much, is brought back.
const returnTime = time.Second

// leastShareOfRate is what a tenant that exceeded its quota gets at least.
const leastShareOfRate = 0.1

// shares returns the shares of all tenants that are throttled. One that will have room again
// is throttled no longer. A share is what the tenant's rate allows of its demand, less what
// it used too much, or more by what is left, over returnTime.
func (c *Coordinator) shares(now time.Time, part float64) []Share {
	shares := make([]Share, 0, len(c.throttled))
	for tenant, u := range c.throttled {
		quota := c.quotas[tenant]
		u.fill(now, quota, part)
		u.demand.decay(now)
		if c.forecast(u, quota, part) > 0 {
			delete(c.throttled, tenant)
			continue
		}
		rate := max(quota.Rate*part+u.room.level/returnTime.Seconds(), leastShareOfRate*quota.Rate*part)
		shares = append(shares, Share{Tenant: tenant, Admit: min(rate/max(u.demand.rate(), rate), 1)})
	}
	return shares
}
