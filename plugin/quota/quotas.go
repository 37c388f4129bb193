package quota

import (
	"time"

	"github.com/loomcleat/loomcleat/quota"
)

// tickInterval is the time between two updates of the state that changes with time: the processes
// that count, and lowered quotas that come into force.
const tickInterval = 500 * time.Millisecond

// applyPolicy applies the quotas of a new policy. It runs on the control loop.
func (l *limiter) applyPolicy(now time.Time, _ []byte) {
	quotas := map[string]quota.Quota{}
	for _, tenant := range l.process.Policy.Load().Tenants().List() {
		if tenant.Quota.Bounded() {
			quotas[tenant.Name] = quota.Quota{Rate: tenant.Quota.Rate, Burst: tenant.Quota.Burst}
		}
	}
	l.grace.Set(now, quotas)
	l.applyQuotas(now)
}

// applyQuotas applies the quotas that are in force now. It runs on the control loop.
func (l *limiter) applyQuotas(now time.Time) {
	quotas, changing := l.grace.InForce(now)
	l.changing = changing
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.limiter.SetQuotas(now, quotas)
	l.totals.SetQuotas(quotas)
}

// tick updates the state that changes with time. It runs on the control loop.
func (l *limiter) tick(now time.Time) {
	l.countProcesses(now, *l.process.Members.Load())
	if l.changing {
		l.applyQuotas(now)
	}
}
