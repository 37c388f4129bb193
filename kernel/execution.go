package kernel

import (
	"sync"
	"time"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/retrybudget"
)

// Execution is a request that the back end of this node is working on. The
// calls that the back end makes for it are tied to it by its token.
type Execution struct {
	Token   string
	Request string
	// Identity names this execution in the keys of the calls that it makes. It is the key
	// under which it runs, "" with the setting claims: false.
	Identity string
	Priority int
	Deadline clock.Instant
	Budget   *retrybudget.Account
	Hops     int
	// RequestID is the caller's name for the request, "" when it has none.
	RequestID string
	// Repeat says that the request is, or was made by, a repeated attempt.
	Repeat bool

	mutex    sync.Mutex
	children int
	since    time.Time // when children became more than 0
	waited   time.Duration
	level    int
	pressure float64
	failed   bool // a call of the back end failed
	ordinals map[uint64]int
}

// BeginChild records that the back end waits for a call of its own.
func (e *Execution) BeginChild(now time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.children == 0 {
		e.since = now
	}
	e.children++
}

// EndChild records that such a call has ended.
func (e *Execution) EndChild(now time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.children--
	if e.children == 0 {
		e.waited += now.Sub(e.since)
	}
}

// Waited returns the time in which at least one call of the back end was open.
func (e *Execution) Waited(now time.Time) time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.children > 0 {
		return e.waited + now.Sub(e.since)
	}
	return e.waited
}

// NoteLevel records the admission level of a service that the back end called.
func (e *Execution) NoteLevel(level int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.level = max(e.level, level)
}

// NotePressure records the pressure that this execution or a call of the back
// end met.
func (e *Execution) NotePressure(pressure float64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.pressure = max(e.pressure, pressure)
}

// Pressure returns the highest pressure that was noted.
func (e *Execution) Pressure() float64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.pressure
}

// NoteCallFailed records that a call that the back end made has failed.
func (e *Execution) NoteCallFailed() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.failed = true
}

// CallFailed reports whether a call that the back end made has failed.
func (e *Execution) CallFailed() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.failed
}

// Level returns the highest level that was noted.
func (e *Execution) Level() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.level
}

// Ordinal returns how many calls with the same content this execution has made
// before, so that each gets a key of its own, and the same one when the whole
// execution is repeated.
func (e *Execution) Ordinal(content uint64) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.ordinals == nil {
		e.ordinals = map[uint64]int{}
	}
	ordinal := e.ordinals[content]
	e.ordinals[content]++
	return ordinal
}
