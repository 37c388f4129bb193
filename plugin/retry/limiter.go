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
	// recordCall records a new call, which may add to the budgets.
	recordCall(call *kernel.Call)
	// takeRetry takes one retry of a call from the budgets and reports whether there was one.
	takeRetry(call *kernel.Call) bool
	// shared reports whether one budget bounds the retries of all processes together
	// (retry.Situation.SharedBudget).
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

// ratioLimiter bounds retries by the budget of the user request and by a share of the calls
// that this process makes to the service.
type ratioLimiter struct {
	mutex sync.Mutex
	// Token buckets by service.
	ratios map[string]*retrybudget.Ratio
}

func (l *ratioLimiter) recordCall(call *kernel.Call) {
	now := time.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.ratio(call, now).RecordCall(now, call.Policy.RetryRatio)
}

func (l *ratioLimiter) takeRetry(call *kernel.Call) bool {
	if !call.Budget.Spend() {
		return false
	}
	now := time.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.ratio(call, now).Spend(now)
}

func (l *ratioLimiter) shared() bool { return false }

// ratio returns the token bucket of the call's service. The caller holds the mutex.
func (l *ratioLimiter) ratio(call *kernel.Call, now time.Time) *retrybudget.Ratio {
	bucket, exists := l.ratios[call.Service]
	if !exists {
		bucket = retrybudget.NewRatio(now)
		l.ratios[call.Service] = bucket
	}
	return bucket
}

// sharedLimiter bounds the repeated attempts that arrive at the back ends of a service from all
// processes of the mesh together.
type sharedLimiter struct {
	process *kernel.Process
	config  retrybudget.SharedConfig
	mutex   sync.Mutex
	// Budgets by service.
	budgets map[string]*retrybudget.Shared
}

// minimumProcesses is the lowest number of processes among which the slack of the budget is
// divided. A process that is cut off sees fewer members than share the slack. Unlike
// processesAtStart of plug-in quota, it applies for as long as the process runs.
const minimumProcesses = 16

func (l *sharedLimiter) recordCall(call *kernel.Call) {
	now := time.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	budget := l.budget(call)
	budget.RecordRequest(now)
	if call.IsRetry {
		budget.RecordRetry(now)
	}
}

func (l *sharedLimiter) takeRetry(call *kernel.Call) bool {
	if !call.Budget.Spend() {
		return false
	}
	if !l.spend(call) {
		call.Budget.ReturnUnused(1, 1)
		return false
	}
	call.IsRetry = true
	return true
}

func (l *sharedLimiter) shared() bool { return true }

// spend takes one retry from the budget of the call's service.
func (l *sharedLimiter) spend(call *kernel.Call) bool {
	now := time.Now()
	processes := max(len(*l.process.Members.Load()), minimumProcesses)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	rank := float64(call.Priority) / admission.MaximumPriority
	return l.budget(call).Spend(now, processes, rank)
}

// budget returns the budget of the call's service. The caller holds the mutex.
func (l *sharedLimiter) budget(call *kernel.Call) *retrybudget.Shared {
	budget, exists := l.budgets[call.Service]
	if !exists {
		budget = retrybudget.NewShared(l.config, l.process.Started)
		l.budgets[call.Service] = budget
	}
	return budget
}
