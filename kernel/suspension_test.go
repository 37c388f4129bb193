package kernel

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/clock/clocktest"
)

// TestSuspensionMeter guards against counting elapsed time as a suspension, and against
// counting a suspension twice.
func TestSuspensionMeter(t *testing.T) {
	is := is.New(t)
	slept := time.Duration(0)
	origin := clock.Now()
	started := time.Now()
	defer clocktest.Replace(func() clock.Instant { return origin.Add(time.Since(started) + slept) })()
	meter := newSuspensionMeter()
	time.Sleep(5 * time.Millisecond)
	is.True(meter.read().Abs() < minimumSuspension) // elapsed time does not count
	slept = 5 * time.Second
	is.True(meter.read() > 5*time.Second-minimumSuspension)
	is.True(meter.read().Abs() < minimumSuspension) // counted once
}
