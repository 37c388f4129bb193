// Package clock tells the time by a clock that goes on while the machine is suspended.
//
// The steady clock behind time.Now stands still then, and timers with it. Whatever must
// hold by the time of others, such as how old a proof is or how long a caller still waits,
// is measured in Instants of this package. What measures the work of a process, such as
// latencies and pressure, stays with time.Now: a suspension must not read as a slow back
// end. The time of day decides nothing; it may step.
//
// The package relies on CLOCK_BOOTTIME of the kernel; Check says whether it is there.
// Tests replace the clock with package clocktest.
package clock

import (
	"time"

	"github.com/loomcleat/loomcleat/clock/internal/override"
)

// Instant is a reading of the clock: nanoseconds since the machine has started, with the
// time in which it was suspended.
type Instant int64

// Now returns the present reading. It takes some 70 ns and allocates nothing, where the
// C library's fast path is linked; a system call would take twice as long.
func Now() Instant {
	if source := override.Active.Load(); source != nil {
		return Instant((*source)())
	}
	return Instant(bootNanoseconds())
}

// Add returns the instant a duration later.
func (i Instant) Add(duration time.Duration) Instant { return i + Instant(duration) }

// Sub returns the time from another instant to this one.
func (i Instant) Sub(other Instant) time.Duration { return time.Duration(i - other) }

// Left returns the time from now to the instant, negative when it has passed.
func (i Instant) Left() time.Duration { return i.Sub(Now()) }

// Time returns the instant for decision packages, which know no clock and only compare
// the times that they are given. It must not be compared with readings of time.Now.
func (i Instant) Time() time.Time { return time.Unix(0, int64(i)) }
