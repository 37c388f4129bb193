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
		{"a first try", 0, 0, 1},
		{"a first try, a little late", 5 * time.Millisecond, 0, 1},
		{"came back when told to", 100 * time.Millisecond, 0, returnedRanks},
		{"came back later", 1500 * time.Millisecond, 0, returnedRanks},
		{"did not wait", 50 * time.Millisecond, hastyRanks, 1},
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
			is.True(math.Abs(sum/1000-(c.low+c.high)/2) < 0.05) // spread evenly
		})
	}
}
