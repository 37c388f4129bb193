package shed

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestRank(t *testing.T) {
	const longest = 5 * time.Second
	cases := []struct {
		name      string
		patience  time.Duration
		low, high float64
	}{
		{"a first try", longest, 0, 1},
		{"a first try, a little late", longest - 5*time.Millisecond, 0, 1},
		{"came back when told to", longest - retryAfter, 0, returnedRanks},
		{"did not wait", longest - 100*time.Millisecond, hastyRanks, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			for range 100 {
				got := rank(longest, c.patience)
				is.True(got >= c.low && got < c.high)
			}
		})
	}
}
