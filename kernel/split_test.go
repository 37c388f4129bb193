package kernel

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

func TestSplitPositionsAreSpreadFromTheFirstRequestOn(t *testing.T) {
	for range 20 { // the start is random
		is := is.New(t)
		var counters splitCounters
		below := 0
		for i := range 200 {
			position := counters.next("route")
			is.True(position >= 0 && position < 1)
			if position < 0.9 {
				below++
			}
			if i >= 20 {
				share := float64(below) / float64(i+1)
				is.True(math.Abs(share-0.9) < 0.07) // close to the weight at any time
			}
		}
	}
}
