package kernel

import (
	"context"
	"time"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/event"
)

// Constants of the detection of suspensions. It only logs and counts them: code that must
// be correct across a suspension uses the clock package.
const (
	suspensionInterval = 500 * time.Millisecond
	// minimumSuspension is longer than a usual preemption between the readings of the two
	// clocks, which looks like a suspension.
	minimumSuspension = 100 * time.Millisecond
)

// watchSuspensions logs and counts suspensions of the machine until ctx ends.
func (p *Process) watchSuspensions(ctx context.Context) {
	meter := newSuspensionMeter()
	for {
		Pause(ctx, suspensionInterval)
		if ctx.Err() != nil {
			return
		}
		if slept := meter.read(); slept >= minimumSuspension {
			p.Counters.Suspended.Add(slept.Milliseconds())
			p.Log.Emit(event.MachineSuspended, "for_ms", slept.Milliseconds())
		}
	}
}

// suspensionMeter measures suspensions as the difference between two clocks: only the first
// advances while the machine is suspended.
type suspensionMeter struct {
	instant   clock.Instant
	monotonic time.Time
}

func newSuspensionMeter() suspensionMeter {
	return suspensionMeter{instant: clock.Now(), monotonic: time.Now()}
}

// read returns how long the machine was suspended since the last call.
func (m *suspensionMeter) read() time.Duration {
	before := *m
	*m = newSuspensionMeter()
	return m.instant.Sub(before.instant) - m.monotonic.Sub(before.monotonic)
}
