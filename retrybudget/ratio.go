package retrybudget

import "time"

// Ratio bounds the retries to one service as a share of the calls to it, so that retries
// don't multiply the load of a failing service. It is a token bucket: each call adds the
// ratio, each retry takes one token. Ratio is not safe for concurrent use.
type Ratio struct {
	tokens   float64
	filledAt time.Time
}

const (
	// ratioBurst is the capacity of the bucket.
	ratioBurst = 10.0
	// ratioMinimum is the number of tokens added per second at any rate of calls, so that
	// a process with few calls can still retry some.
	ratioMinimum = 1.0
)

// NewRatio returns a Ratio with a full bucket.
func NewRatio(now time.Time) *Ratio {
	return &Ratio{tokens: ratioBurst, filledAt: now}
}

// RecordCall records the first attempt of a call. ratio is the number of retries allowed per call.
func (r *Ratio) RecordCall(now time.Time, ratio float64) {
	r.fill(now)
	r.tokens = min(r.tokens+ratio, ratioBurst)
}

// Spend takes one token and reports whether one was left.
func (r *Ratio) Spend(now time.Time) bool {
	r.fill(now)
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

func (r *Ratio) fill(now time.Time) {
	elapsed := now.Sub(r.filledAt).Seconds()
	if elapsed > 0 {
		r.tokens = min(r.tokens+elapsed*ratioMinimum, ratioBurst)
		r.filledAt = now
	}
}
