package kernel

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

// TestSplitFollowsWeights guards against shares that are off their weights for the first
// requests of a route.
func TestSplitFollowsWeights(t *testing.T) {
	for range 20 { // the start is random
		is := is.New(t)
		var counters splitCounters
		below := 0
		for i := range 2000 {
			position := counters.next("route")
			is.True(position >= 0 && position < 1)
			if position < 0.9 {
				below++
			}
			limit := 2.5 // maximum deviation in requests
			if i >= 100 {
				limit = 5
			}
			is.True(math.Abs(float64(below)-0.9*float64(i+1)) < limit)
		}
	}
}
