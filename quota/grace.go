package quota

import (
	"maps"
	"time"
)

// GracePeriod determines when a changed quota takes effect: a lower quota after one window,
// any other change at once. Within the last window, a tenant may rightly have used more than
// the lower quota allows. If that quota took effect at once, all requests of the tenant would
// be refused until the excess is made up for. It is not safe for concurrent use.
type GracePeriod struct {
	window time.Duration
	// Quotas of the current policy, by tenant.
	configured map[string]Quota
	// Previous quotas of tenants whose quota was lowered within the window.
	previous map[string]previousQuota
}

// previousQuota is a quota that remains in force until a given time.
type previousQuota struct {
	Quota
	until time.Time
}

// NewGracePeriod returns a GracePeriod for quotas that hold over the given window.
func NewGracePeriod(window time.Duration) *GracePeriod {
	return &GracePeriod{window: window, previous: map[string]previousQuota{}}
}

// Set records the quotas of a policy. Tenants without a quota are not listed.
func (g *GracePeriod) Set(now time.Time, quotas map[string]Quota) {
	for tenant, quota := range quotas {
		before, hasQuota := g.configured[tenant]
		previous, inGrace := g.previous[tenant]
		switch {
		case inGrace && !isLower(quota, previous.Quota):
			delete(g.previous, tenant)
		case !inGrace && hasQuota && isLower(quota, before):
			g.previous[tenant] = previousQuota{Quota: before, until: now.Add(g.window)}
		}
	}
	g.configured = quotas
}

// isLower reports whether a quota has a lower rate or burst than another.
func isLower(quota, than Quota) bool { return quota.Rate < than.Rate || quota.Burst < than.Burst }

// InForce returns the quotas in force and whether a grace period is still running, so that
// they will change with time.
func (g *GracePeriod) InForce(now time.Time) (quotas map[string]Quota, changing bool) {
	quotas = make(map[string]Quota, len(g.configured))
	maps.Copy(quotas, g.configured)
	for tenant, previous := range g.previous {
		configured, exists := quotas[tenant]
		if !exists || !now.Before(previous.until) {
			delete(g.previous, tenant)
			continue
		}
		quotas[tenant] = Quota{Rate: max(configured.Rate, previous.Rate), Burst: max(configured.Burst, previous.Burst)}
	}
	return quotas, len(g.previous) > 0
}
