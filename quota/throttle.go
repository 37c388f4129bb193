package quota

import "time"

// Thresholds for throttling, as shares of the tolerated excess. The rest covers the requests
// admitted until all processes have received the new share. The share of the slack lets small
// tenants send two or three requests at once, which does not indicate an exceeded quota.
// TestQuotasHoldUnderFaults and TestReportRateIsBounded check both.
const (
	throttleToleranceShare = 0.05 // share of the tolerance
	throttleSlackShare     = 0.2  // share of the slack
)

// isNearQuota reports whether a tenant is likely to exceed its quota before all processes
// have reported again.
func (c *Coordinator) isNearQuota(u *usage, quota Quota, reportingShare float64) bool {
	throttleAt := -reportingShare * (throttleToleranceShare*c.config.tolerance(quota) + throttleSlackShare*c.config.Slack)
	return c.forecast(u, quota, reportingShare) < throttleAt
}

// forecast returns the remaining quota one interval from now, if demand stays the same.
func (c *Coordinator) forecast(u *usage, quota Quota, reportingShare float64) float64 {
	excess := max(u.demand.rate()-quota.Rate*reportingShare, 0)
	return u.remaining.level - excess*c.config.Interval.Seconds()
}

// correctionTime is the time over which an excess or a remainder of a quota is corrected.
const correctionTime = time.Second

// minimumRateShare is the minimum share of its rate that a throttled tenant is given.
const minimumRateShare = 0.1

// shares returns the shares of all throttled tenants, and stops throttling those that are
// forecast to have quota remaining. A share is the ratio of an allowed rate to the tenant's
// demand. The allowed rate is the tenant's rate, corrected over correctionTime by the excess
// or the remainder of its quota.
func (c *Coordinator) shares(now time.Time, reportingShare float64) []Share {
	shares := make([]Share, 0, len(c.throttled))
	for tenant, u := range c.throttled {
		quota := c.quotas[tenant]
		u.fill(now, quota, reportingShare)
		u.demand.decay(now)
		if c.forecast(u, quota, reportingShare) > 0 {
			delete(c.throttled, tenant)
			continue
		}
		rate := max(quota.Rate*reportingShare+u.remaining.level/correctionTime.Seconds(), minimumRateShare*quota.Rate*reportingShare)
		shares = append(shares, Share{Tenant: tenant, Admit: min(rate/max(u.demand.rate(), rate), 1)})
	}
	return shares
}
