package quota

import (
	"maps"
	"time"
)

// GracePeriod decides from when on a changed quota is in force: a lower one after a window,
// any other at once. In the last window, a tenant may have used more than the lower quota
// allows, in good faith; held to it at once, all its callers would be refused until that
// is made up for. It is not safe for concurrent use.
type GracePeriod struct {
	window   time.Duration
	wanted   map[string]Quota         // by tenant, as the policy has it
	previous map[string]previousQuota // of tenants whose quota was lowered within the window
}

// previousQuota is the quota that a tenant had before.
type previousQuota struct {
	Quota
	until time.Time
}

// NewGracePeriod returns a GracePeriod of quotas that are counted in windows of a length.
func NewGracePeriod(window time.Duration) *GracePeriod {
	return &GracePeriod{window: window, previous: map[string]previousQuota{}}
}

// Set takes the quotas of a policy. Tenants without one are not listed.
func (g *GracePeriod) Set(now time.Time, quotas map[string]Quota) {
	for tenant, quota := range quotas {
		before, bounded := g.wanted[tenant]
		previous, inGrace := g.previous[tenant]
		switch {
		case inGrace && !isLower(quota, previous.Quota):
			delete(g.previous, tenant)
		case !inGrace && bounded && isLower(quota, before):
			g.previous[tenant] = previousQuota{Quota: before, until: now.Add(g.window)}
		}
	}
	g.wanted = quotas
}

// isLower reports whether a quota allows less than another one in any way.
func isLower(quota, than Quota) bool { return quota.Rate < than.Rate || quota.Burst < than.Burst }

// InForce returns the quotas that are in force, and whether some will change by time.
func (g *GracePeriod) InForce(now time.Time) (quotas map[string]Quota, changing bool) {
	quotas = make(map[string]Quota, len(g.wanted))
	maps.Copy(quotas, g.wanted)
	for tenant, previous := range g.previous {
		wanted, exists := quotas[tenant]
		if !exists || !now.Before(previous.until) {
			delete(g.previous, tenant)
			continue
		}
		quotas[tenant] = Quota{Rate: max(wanted.Rate, previous.Rate), Burst: max(wanted.Burst, previous.Burst)}
	}
	return quotas, len(g.previous) > 0
}
