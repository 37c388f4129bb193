package ratelimit

import "math"

// Rate is a number of requests per second.
type Rate float64

// Valid reports whether the rate is a finite number that is not negative.
func (r Rate) Valid() bool { return r >= 0 && !math.IsInf(float64(r), 0) }
