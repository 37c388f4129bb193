package quota

import (
	"time"

	"github.com/loomcleat/loomcleat/quota"
)

// tickInterval is the time between two looks at what changes by time: the processes that
// count, and quotas that were lowered.
const tickInterval = 500 * time.Millisecond

// adopt puts the quotas of a new policy in force. It runs on the control loop.
func (l *limiter) adopt(now time.Time, _ []byte) {
	quotas := map[string]quota.Quota{}
	for _, tenant := range l.process.Policy.Load().Tenants().List() {
		if tenant.Quota.Bounded() {
			quotas[tenant.Name] = quota.Quota{Rate: tenant.Quota.Rate, Burst: tenant.Quota.Burst}
		}
	}
	l.grace.Set(now, quotas)
	l.putInForce(now)
}

func (l *limiter) putInForce(now time.Time) {
	quotas, changing := l.grace.InForce(now)
	l.changing = changing
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.ledger.SetQuotas(now, quotas)
	l.totals.SetQuotas(quotas)
}

// tick runs on the control loop.
func (l *limiter) tick(now time.Time) {
	l.countProcesses(now, *l.process.Members.Load())
	if l.changing {
		l.putInForce(now)
	}
}
