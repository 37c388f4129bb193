package balance

import (
	"math"
	"time"
)

// DecayingShare is the smoothed share of calls that had some outcome. It decays with time,
// so that a node that is avoided because of it is tried again. The zero value is a share
// of 0. DecayingShare is not safe for concurrent use.
type DecayingShare struct {
	value     float64
	updatedAt time.Time
}

// At returns the share at a time, 0 to 1. It halves with each halfLife since the last update.
func (s *DecayingShare) At(now time.Time, halfLife time.Duration) float64 {
	if s.value == 0 {
		return 0
	}
	return s.value * decay(now.Sub(s.updatedAt), halfLife)
}

// decay returns the weight, 1 to 0, of a value of some age.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-max(age, 0).Seconds() / halfLife.Seconds())
}

// Observe records the end of one call. counts reports whether it had the outcome.
func (s *DecayingShare) Observe(now time.Time, halfLife time.Duration, counts bool) {
	observed := 0.0
	if counts {
		observed = 1
	}
	s.update(now, halfLife, smoothing, observed)
}

// update moves the share towards an observed one by a weight of 0 to 1.
func (s *DecayingShare) update(now time.Time, halfLife time.Duration, weight, observed float64) {
	value := s.At(now, halfLife)
	s.value = value + weight*(observed-value)
	s.updatedAt = now
}
