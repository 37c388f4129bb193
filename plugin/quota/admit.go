package quota

import (
	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/quota"
	"github.com/loomcleat/loomcleat/result"
)

// middleware refuses requests of tenants that exceed their quota.
func (l *limiter) middleware(next kernel.Handler) kernel.Handler {
	return kernel.HandlerFunc(func(call *kernel.Call) (*kernel.Answer, error) {
		if call.Tenant == "" {
			return next.Handle(call)
		}
		decision := l.admit(call.Tenant)
		if decision.Report {
			l.reportSoon()
		}
		if !decision.Admitted {
			return nil, result.New(result.QuotaExceeded, "tenant %s is beyond its quota, by %s", call.Tenant, decision.Basis).
				WithRetryAfter(decision.RetryAfter)
		}
		answer, err := next.Handle(call)
		if err != nil && result.From(err).NotRun() {
			l.refund(call.Tenant)
		}
		return answer, err
	})
}

func (l *limiter) admit(tenant string) quota.Decision {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.limiter.Admit(clock.Now().Time(), tenant)
}

func (l *limiter) refund(tenant string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.limiter.Refund(tenant)
}

// reportSoon wakes the goroutine that sends reports.
func (l *limiter) reportSoon() { kernel.Wake(l.wake) }
