package retrybudget

import "time"

// Ratio bounds retries to one target as a share of the calls to it, so that a
// failing target is not sent a multiple of its load. It is a token bucket that
// each call fills by the ratio and each retry empties by one. It is not safe
// for concurrent use.
type Ratio struct {
	tokens float64
	last   time.Time
}

// Bounds of the bucket of Ratio. Estimates: a process that makes few calls can still try
// some again.
const (
	ratioBurst   = 10.0 // retries that may be made at once
	ratioMinimum = 1.0  // tokens a second at any rate of calls
)

// NewRatio returns a Ratio with a full bucket.
func NewRatio(now time.Time) *Ratio {
	return &Ratio{tokens: ratioBurst, last: now}
}

// Call records one first attempt.
func (r *Ratio) Call(now time.Time, ratio float64) {
	r.fill(now)
	r.tokens = min(r.tokens+ratio, ratioBurst)
}

// Retry takes one token and reports whether there was one.
func (r *Ratio) Retry(now time.Time) bool {
	r.fill(now)
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

func (r *Ratio) fill(now time.Time) {
	elapsed := now.Sub(r.last).Seconds()
	if elapsed > 0 {
		r.tokens = min(r.tokens+elapsed*ratioMinimum, ratioBurst)
		r.last = now
	}
}
