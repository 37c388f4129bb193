package policy

import (
	"net/http"
	"time"
)

// Effective holds the settings of one call after inheritance. Fields are as in Settings
// unless described here.
type Effective struct {
	// Path is the path of the most specific entry that matched, or the name of the
	// route prefixed by "route:".
	Path    string `json:"path"`
	Service string `json:"service"`
	// Known reports that the service has an entry in the tree or that a route applies.
	Known       bool  `json:"known"`
	Class       Class `json:"class"`
	Repeatable  bool  `json:"repeatable"`
	RetryBudget int   `json:"retry_budget"`
	// MaximumAttempts is the maximum number of back ends that one call is sent to,
	// set by the route. 0: only the retry budgets bound it.
	MaximumAttempts int           `json:"max_attempts,omitempty"`
	RetryRatio      float64       `json:"retry_ratio"`
	Deadline        time.Duration `json:"deadline_ns"`
	ConcurrencyMin  int           `json:"concurrency_min"`
	ConcurrencyMax  int           `json:"concurrency_max"`
	QueueTime       time.Duration `json:"queue_time_ns"`
	// TargetLatency is the latency up to which an answer has its full value, set by
	// the route. 0: none is set.
	TargetLatency time.Duration `json:"target_latency_ns,omitempty"`
	// Public reports that callers need no key. It is set by the route.
	Public bool `json:"public,omitempty"`
}

// Defaults for keys that no entry sets, in the units of Settings.
const (
	DefaultRetryBudget    = 3
	DefaultRetryRatio     = 0.1
	DefaultDeadline       = 10 * time.Second
	DefaultConcurrencyMin = 2
	DefaultConcurrencyMax = 200
	DefaultQueueTime      = 50 * time.Millisecond
)

func valueOr[T any](value *T, fallback T) T {
	if value == nil {
		return fallback
	}
	return *value
}

func effective(path, service string, settings Settings) Effective {
	return Effective{
		Path:           path,
		Service:        service,
		Known:          true,
		Class:          valueOr(settings.Class, Default),
		Repeatable:     valueOr(settings.Repeatable, false),
		RetryBudget:    valueOr(settings.RetryBudget, DefaultRetryBudget),
		RetryRatio:     valueOr(settings.RetryRatio, DefaultRetryRatio),
		Deadline:       time.Duration(valueOr(settings.Deadline, Duration(DefaultDeadline))),
		ConcurrencyMin: valueOr(settings.ConcurrencyMin, DefaultConcurrencyMin),
		ConcurrencyMax: valueOr(settings.ConcurrencyMax, DefaultConcurrencyMax),
		QueueTime:      time.Duration(valueOr(settings.QueueTime, Duration(DefaultQueueTime))),
	}
}

// repeatable returns *set, or whether the method is safe if set is nil.
func repeatable(set *bool, method string) bool {
	if set != nil {
		return *set
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	default:
		return false
	}
}

// Value is one key of an Effective as text.
type Value struct {
	Key   string
	Value string
}

// Values returns the keys of e as text, in the order of FieldNames.
func (e Effective) Values() []Value {
	deadline, queueTime := Duration(e.Deadline), Duration(e.QueueTime)
	all := Settings{
		Class:          &e.Class,
		Repeatable:     &e.Repeatable,
		RetryBudget:    &e.RetryBudget,
		RetryRatio:     &e.RetryRatio,
		Deadline:       &deadline,
		ConcurrencyMin: &e.ConcurrencyMin,
		ConcurrencyMax: &e.ConcurrencyMax,
		QueueTime:      &queueTime,
	}
	values := make([]Value, 0, len(fields))
	for _, f := range fields {
		text, _ := f.show(&all)
		values = append(values, Value{Key: f.name, Value: text})
	}
	return values
}
