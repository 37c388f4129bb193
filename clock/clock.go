// Package clock reads a clock that keeps running while the machine is suspended.
//
// The monotonic clock behind time.Now stops during a suspension, and so do timers. Times
// that other machines also count, such as the age of a confirmation or the time left
// until a caller's deadline, are therefore measured in Instants of this package. Latency
// and pressure are measured with time.Now, so that a suspension does not look like a slow
// back end. The time of day may step, so that it is only compared with times of
// day that others report, such as the start of a process.
//
// The package relies on the kernel's CLOCK_BOOTTIME; Check reports whether it is
// available. Tests replace the clock through package clocktest.
package clock

import (
	"time"

	"github.com/loomcleat/loomcleat/clock/internal/override"
)

// Instant is a reading of the clock: nanoseconds since the machine booted, including
// the time during which it was suspended.
type Instant int64

// Now returns the current reading. It does not allocate, and makes no system call where
// cgo is enabled.
func Now() Instant {
	if source := override.Active.Load(); source != nil {
		return Instant((*source)())
	}
	return Instant(bootNanoseconds())
}

func (i Instant) Add(duration time.Duration) Instant { return i + Instant(duration) }

// Sub returns the time elapsed from another instant to this one.
func (i Instant) Sub(other Instant) time.Duration { return time.Duration(i - other) }

// Left returns the time from now until the instant. It is negative once the instant has
// passed.
func (i Instant) Left() time.Duration { return i.Sub(Now()) }

// Time converts the instant for packages that read no clock and only compare the times
// passed to them. The result must not be compared with readings of time.Now.
func (i Instant) Time() time.Time { return time.Unix(0, int64(i)) }
