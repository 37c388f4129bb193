package retry

import (
	"sync"
	"time"

	"github.com/loomcleat/loomcleat/admission"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/retrybudget"
)

// limiter bounds the repeated attempts of one process.
type limiter interface {
	// begin records a new call.
	begin(call *kernel.Call)
	// repeat reports whether there may be another attempt after the given number
	// of them, and records it.
	repeat(call *kernel.Call, seen outcome, err error, offers int) bool
	// offersAreFree reports whether an offer that a node refuses costs nothing, so that
	// a call may be offered again after a pause.
	offersAreFree() bool
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

func (l *ratioLimiter) repeat(call *kernel.Call, _ outcome, _ error, _ int) bool {
	if !call.Budget.Spend() {
		return false
	}
	now := time.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.ratio(call, now).Retry(now)
}

// offersAreFree implements limiter: each attempt after the first is a retry of the user
// request, whose number is bounded over its whole call graph.
func (l *ratioLimiter) offersAreFree() bool { return false }

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
// mesh. An offer that was refused beside the back end has not arrived there and
// costs nothing, so that only the number of offers of one call is bounded.
type sharedLimiter struct {
	process *kernel.Process
	config  retrybudget.SharedConfig
	mutex   sync.Mutex
	budgets map[string]*retrybudget.Shared // by service
}

// Bounds of the shared limiter.
const (
	// maximumOffers bounds the nodes that one call is offered to.
	maximumOffers = 3
	// leastProcesses is the number of processes that are assumed to share the
	// slack while fewer are known, as in a process that is cut off.
	leastProcesses = 16
)

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

func (l *sharedLimiter) repeat(call *kernel.Call, seen outcome, err error, offers int) bool {
	if offers >= maximumOffers {
		return false
	}
	if seen == notRun && result.From(err).Code != result.BackendRefused {
		return true
	}
	call.Arrivals++
	if most := call.Policy.MaximumAttempts; most > 0 && call.Arrivals >= most {
		return false
	}
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

// offersAreFree implements limiter.
func (l *sharedLimiter) offersAreFree() bool { return true }

// spend takes one repeated attempt from the budget of the call's service.
func (l *sharedLimiter) spend(call *kernel.Call) bool {
	now := time.Now()
	processes := max(len(*l.process.Members.Load()), leastProcesses)
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
