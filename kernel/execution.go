package kernel

import (
	"sync"
	"time"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/retrybudget"
)

// Execution is a request on which the back end of this node is working. The calls that
// the back end makes for it carry its token.
type Execution struct {
	Token string
	// UserRequest identifies the user request.
	UserRequest string
	// Identity is the key under which the request runs, "" with the setting claims: false.
	// It is part of the keys of the calls that the back end makes.
	Identity string
	Priority int
	Deadline clock.Instant
	Budget   *retrybudget.Account
	Hops     int
	// RequestID is the ID that the caller gave the request, "" for none.
	RequestID string
	// IsRetry is true when the attempt, or one upstream of it, is a retry.
	IsRetry bool

	mutex    sync.Mutex
	children int           // open calls of the back end
	since    time.Time     // when the first of them began
	waited   time.Duration // earlier time with open calls
	level    int
	pressure float64
	failed   bool           // a call of the back end failed
	ordinals map[uint64]int // number of calls by content
}

// BeginChild records the start of a call that the back end makes.
func (e *Execution) BeginChild(now time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.children == 0 {
		e.since = now
	}
	e.children++
}

// EndChild records the end of a call that the back end made.
func (e *Execution) EndChild(now time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.children--
	if e.children == 0 {
		e.waited += now.Sub(e.since)
	}
}

// Waited returns the total time with at least one open call of the back end.
func (e *Execution) Waited(now time.Time) time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.children > 0 {
		return e.waited + now.Sub(e.since)
	}
	return e.waited
}

// RecordLevel records the admission level of a service that the back end called.
func (e *Execution) RecordLevel(level int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.level = max(e.level, level)
}

// RecordPressure records a pressure seen by this execution or reported for a call of the
// back end.
func (e *Execution) RecordPressure(pressure float64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.pressure = max(e.pressure, pressure)
}

// Pressure returns the highest recorded pressure.
func (e *Execution) Pressure() float64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.pressure
}

// RecordCallFailure records that a call of the back end failed.
func (e *Execution) RecordCallFailure() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.failed = true
}

// CallFailed reports whether a call of the back end failed.
func (e *Execution) CallFailed() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.failed
}

// Level returns the highest recorded admission level.
func (e *Execution) Level() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.level
}

// NextOrdinal counts a call and returns the number of earlier calls with the same content.
// It gives each call a distinct key, which stays the same when the request is executed
// again.
func (e *Execution) NextOrdinal(content uint64) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.ordinals == nil {
		e.ordinals = map[uint64]int{}
	}
	ordinal := e.ordinals[content]
	e.ordinals[content]++
	return ordinal
}
