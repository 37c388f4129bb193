package quota

import (
	"math"
	"time"
)

// demand estimates the rate of requests from batches of them: over a second, and over a
// quarter of one, which finds a jump sooner. The short one counts where it is higher by
// more than chance makes it.
type demand struct {
	slow, fast float64 // requests, each weighted by its age
	updated    time.Time
}

// Times over which a request loses its weight, in seconds.
const (
	slowTime = 1.0
	fastTime = 0.25
)

// jumpDeviations is the number of standard deviations of the short estimate that are taken
// off it, for what chance may have added.
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

// rate returns the demand in requests a second.
func (d *demand) rate() float64 {
	surely := max(d.fast-jumpDeviations*math.Sqrt(d.fast/2), 0)
	return max(d.slow/slowTime, surely/fastTime)
}
