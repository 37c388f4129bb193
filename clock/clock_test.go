package clock_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/clock/clocktest"
)

func TestClockAdvances(t *testing.T) {
	is := is.New(t)
	is.NoErr(clock.Check())
	before := clock.Now()
	time.Sleep(2 * time.Millisecond)
	passed := clock.Now().Sub(before)
	is.True(passed >= 2*time.Millisecond)
	is.True(clock.Now().Add(time.Hour).Left() > 59*time.Minute)
}

func TestSuspensionCounts(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(1000)
	defer clocktest.Replace(func() clock.Instant { return now })()
	deadline := clock.Now().Add(2 * time.Second)
	is.Equal(deadline.Left(), 2*time.Second)
	now = now.Add(30 * time.Second) // suspended
	is.Equal(deadline.Left(), -28*time.Second)
	is.Equal(clock.Now().Time().Sub(deadline.Time()), 28*time.Second)
}

func BenchmarkNow(b *testing.B) {
	b.ReportAllocs()
	for range b.N {
		clock.Now()
	}
}
