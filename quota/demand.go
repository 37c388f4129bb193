package quota

import (
	"math"
	"time"
)

// demand estimates a request rate from batches of requests, as the maximum of two
// exponentially decaying counts: a slow one, and a fast one that detects a jump sooner. The
// fast one is reduced by its statistical uncertainty.
type demand struct {
	// Numbers of requests, each weighted by its age.
	slow, fast float64
	updated    time.Time
}

// Time constants of the decay, in seconds.
const (
	slowTime = 1.0
	fastTime = 0.25
)

// jumpDeviations is the number of standard deviations subtracted from the fast estimate, so
// that random fluctuations do not count as a jump.
const jumpDeviations = 2

func (d *demand) decay(now time.Time) {
	if elapsed := now.Sub(d.updated).Seconds(); elapsed > 0 {
		d.slow *= math.Exp(-elapsed / slowTime)
		d.fast *= math.Exp(-elapsed / fastTime)
		d.updated = now
	}
}

func (d *demand) add(now time.Time, requests float64) {
	d.decay(now)
	d.slow += requests
	d.fast += requests
}

// rate returns the demand in requests per second.
func (d *demand) rate() float64 {
	fastLowerBound := max(d.fast-jumpDeviations*math.Sqrt(d.fast/2), 0)
	return max(d.slow/slowTime, fastLowerBound/fastTime)
}
