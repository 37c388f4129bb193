package kernel

import (
	"context"
	"time"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/event"
)

// Bounds of the watch for suspensions, which tells of them and decides nothing: whatever
// must hold reads the clock itself.
const (
	suspensionInterval = 500 * time.Millisecond
	// leastSuspension is above what two readings taken one after the other differ by when
	// the process was preempted between them.
	leastSuspension = 100 * time.Millisecond
)

// watchSuspensions logs and counts the time in which the machine was suspended.
func (p *Process) watchSuspensions(ctx context.Context) {
	meter := newSuspensionMeter()
	for {
		Pause(ctx, suspensionInterval)
		if ctx.Err() != nil {
			return
		}
		if slept := meter.read(); slept >= leastSuspension {
			p.Counters.Suspended.Add(slept.Milliseconds())
			p.Log.Emit(event.MachineSuspended, "for_ms", slept.Milliseconds())
		}
	}
}

// suspensionMeter compares the clock that counts suspensions with the steady one.
type suspensionMeter struct {
	counted clock.Instant
	steady  time.Time
}

func newSuspensionMeter() suspensionMeter {
	return suspensionMeter{counted: clock.Now(), steady: time.Now()}
}

// read returns how long the machine was suspended since the last reading.
func (m *suspensionMeter) read() time.Duration {
	before := *m
	*m = newSuspensionMeter()
	return m.counted.Sub(before.counted) - m.steady.Sub(before.steady)
}
