package balance

import (
	"math"
	"time"
)

// Share is the smoothed share of calls that ended in one way. It is forgotten
// with time, so that a node that is avoided for it is tried again. The zero value
// is a share of 0. It is not safe for concurrent use.
type Share struct {
	value float64
	since time.Time // when value was brought up to date
}

// At returns the share as it is believed now, 0 to 1.
func (s *Share) At(now time.Time, halfLife time.Duration) float64 {
	if s.value == 0 {
		return 0
	}
	return s.value * decay(now.Sub(s.since), halfLife)
}

// decay is what is left of a belief of some age.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-max(age, 0).Seconds() / halfLife.Seconds())
}

// Learn takes the end of one call, which counts or does not.
func (s *Share) Learn(now time.Time, halfLife time.Duration, counts bool) {
	value := s.At(now, halfLife)
	target := 0.0
	if counts {
		target = 1
	}
	s.value = value + smoothing*(target-value)
	s.since = now
}
