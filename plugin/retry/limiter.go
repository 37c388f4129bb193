package retry

import (
	"sync"
	"time"

	"github.com/loomcleat/loomcleat/admission"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/retrybudget"
)

// limiter holds the retry budgets of one process.
type limiter interface {
	// begin records a new call.
	begin(call *kernel.Call)
	// pay takes one retry of a call from the budgets and reports whether they had one.
	pay(call *kernel.Call) bool
	// shared reports whether the budget is that of all processes together, as
	// retry.Situation.SharedBudget.
	shared() bool
}

func newLimiter(process *kernel.Process) limiter {
	budget := process.Settings.RetryBudget
	if budget.Window == 0 {
		return &ratioLimiter{ratios: map[string]*retrybudget.Ratio{}}
	}
	return &sharedLimiter{
		process: process,
		config:  retrybudget.SharedConfig{Ratio: budget.Ratio, Slack: budget.Slack, Window: budget.Window.Std()},
		budgets: map[string]*retrybudget.Shared{},
	}
}

// ratioLimiter bounds repeated attempts by the budget of the user request and by
// a share of the calls that this process makes to the service.
type ratioLimiter struct {
	mutex  sync.Mutex
	ratios map[string]*retrybudget.Ratio // by service
}

func (l *ratioLimiter) begin(call *kernel.Call) {
	now := time.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.ratio(call, now).Call(now, call.Policy.RetryRatio)
}

func (l *ratioLimiter) pay(call *kernel.Call) bool {
	if !call.Budget.Spend() {
		return false
	}
	now := time.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.ratio(call, now).Retry(now)
}

func (l *ratioLimiter) shared() bool { return false }

// ratio returns the bucket of the call's service. The mutex is held.
func (l *ratioLimiter) ratio(call *kernel.Call, now time.Time) *retrybudget.Ratio {
	bucket, exists := l.ratios[call.Service]
	if !exists {
		bucket = retrybudget.NewRatio(now)
		l.ratios[call.Service] = bucket
	}
	return bucket
}

// sharedLimiter bounds what arrives at the back ends of a service over the whole
// mesh.
type sharedLimiter struct {
	process *kernel.Process
	config  retrybudget.SharedConfig
	mutex   sync.Mutex
	budgets map[string]*retrybudget.Shared // by service
}

// leastSharing is the number of processes that are taken to share the slack of the
// budget while membership shows fewer, as in a process that is cut off. It holds at all
// times, unlike the number that plug-in quota assumes while it has just started.
const leastSharing = 16

func (l *sharedLimiter) begin(call *kernel.Call) {
	now := time.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	budget := l.budget(call)
	budget.Request(now)
	if call.Repeat {
		budget.Repeat(now)
	}
}

func (l *sharedLimiter) pay(call *kernel.Call) bool {
	if !call.Budget.Spend() {
		return false
	}
	if !l.spend(call) {
		call.Budget.Repay(1, 1)
		return false
	}
	call.Repeat = true
	return true
}

func (l *sharedLimiter) shared() bool { return true }

// spend takes one repeated attempt from the budget of the call's service.
func (l *sharedLimiter) spend(call *kernel.Call) bool {
	now := time.Now()
	processes := max(len(*l.process.Members.Load()), leastSharing)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	rank := float64(call.Priority) / admission.MaximumPriority
	return l.budget(call).Spend(now, processes, rank)
}

// budget returns the budget of the call's service. The mutex is held.
func (l *sharedLimiter) budget(call *kernel.Call) *retrybudget.Shared {
	budget, exists := l.budgets[call.Service]
	if !exists {
		budget = retrybudget.NewShared(l.config, l.process.Started)
		l.budgets[call.Service] = budget
	}
	return budget
}
