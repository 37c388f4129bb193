package admission

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestRank(t *testing.T) {
	cases := []struct {
		name      string
		spent     time.Duration
		low, high float64
	}{
		{"first attempt", 0, 0, 1},
		{"first attempt, slightly late", 5 * time.Millisecond, 0, 1},
		{"retried after the minimum delay", 100 * time.Millisecond, 0, retriedRankLimit},
		{"retried later", 1500 * time.Millisecond, 0, retriedRankLimit},
		{"retried too early", 50 * time.Millisecond, earlyRetryMinimumRank, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			sum := 0.0
			for range 1000 {
				got := Rank(c.spent, rand.Float64())
				is.True(got >= c.low && got < c.high)
				sum += got
			}
			is.True(math.Abs(sum/1000-(c.low+c.high)/2) < 0.05) // uniformly distributed
		})
	}
}
