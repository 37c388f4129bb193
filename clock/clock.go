// Package clock tells the time by a clock that goes on while the machine is suspended.
//
// The steady clock behind time.Now stands still then, and timers with it. Whatever must
// hold by the time of others, such as how old a proof is or how long a caller still waits,
// is measured in Instants of this package. What measures the work of a process, such as
// latencies and pressure, stays with time.Now: a suspension must not read as a slow back
// end. The time of day decides nothing; it may step.
package clock

import (
	"sync/atomic"
	"time"
)

// Instant is a reading of the clock: nanoseconds since the machine has started, with the
// time in which it was suspended.
type Instant int64

// Source gives readings.
type Source func() Instant

// replaced is the source that a test has put in the place of the machine's, nil for none.
var replaced atomic.Pointer[Source]

// Replace puts another source in the place of the machine's until restore is called. It
// is for tests.
func Replace(source Source) (restore func()) {
	before := replaced.Swap(&source)
	return func() { replaced.Store(before) }
}

// Now returns the present reading. It takes some 70 ns and allocates nothing, where the
// C library's fast path is linked; a system call would take twice as long.
func Now() Instant {
	if source := replaced.Load(); source != nil {
		return (*source)()
	}
	return Instant(bootNanoseconds())
}

// Check returns a result.SettingsInvalid error on a machine without such a clock.
func Check() error { return checkBootClock() }

// Add returns the instant a duration later.
func (i Instant) Add(duration time.Duration) Instant { return i + Instant(duration) }

// Sub returns the time from another instant to this one.
func (i Instant) Sub(other Instant) time.Duration { return time.Duration(i - other) }

// Left returns the time from now to the instant, negative when it has passed.
func (i Instant) Left() time.Duration { return i.Sub(Now()) }

// Time returns the instant for decision packages, which know no clock and only compare
// the times that they are given. It must not be compared with readings of time.Now.
func (i Instant) Time() time.Time { return time.Unix(0, int64(i)) }
