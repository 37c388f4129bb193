package kernel

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/clock/clocktest"
)

func TestTheMeterSeesSuspensionsAlone(t *testing.T) {
	is := is.New(t)
	slept := time.Duration(0)
	origin := clock.Now()
	started := time.Now()
	defer clocktest.Replace(func() clock.Instant { return origin.Add(time.Since(started) + slept) })()
	meter := newSuspensionMeter()
	time.Sleep(5 * time.Millisecond)
	is.True(meter.read().Abs() < leastSuspension) // time that passed is none
	slept = 5 * time.Second
	is.True(meter.read() > 5*time.Second-leastSuspension)
	is.True(meter.read().Abs() < leastSuspension) // it is told once
}
