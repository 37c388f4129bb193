package balance

import (
	"math"
	"time"
)

// DecayingShare is the smoothed share of calls that ended in one way. It is forgotten
// with time, so that a node that is avoided for it is tried again. The zero value
// is a share of 0. It is not safe for concurrent use.
type DecayingShare struct {
	value float64
	since time.Time // when value was last learned
}

// At returns the share at a time, 0 to 1. It halves with each halfLife without a call.
func (s *DecayingShare) At(now time.Time, halfLife time.Duration) float64 {
	if s.value == 0 {
		return 0
	}
	return s.value * decay(now.Sub(s.since), halfLife)
}

// decay is the weight, 1 to 0, of what was learned some time ago.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-max(age, 0).Seconds() / halfLife.Seconds())
}

// Learn takes the end of one call; counts says whether it ended that way.
func (s *DecayingShare) Learn(now time.Time, halfLife time.Duration, counts bool) {
	observed := 0.0
	if counts {
		observed = 1
	}
	s.learn(now, halfLife, smoothing, observed)
}

// learn moves the share towards what was observed, by a weight of 0 to 1.
func (s *DecayingShare) learn(now time.Time, halfLife time.Duration, weight, observed float64) {
	value := s.At(now, halfLife)
	s.value = value + weight*(observed-value)
	s.since = now
}
