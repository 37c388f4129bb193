package shed

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/result"
)

// TestWhatFailsUnderPressureCountsMore than what only waited, and a fault counts for
// no pressure.
func TestWhatFailsUnderPressureCountsMore(t *testing.T) {
	answered := func(status int) *kernel.Answer {
		return &kernel.Answer{Response: &http.Response{StatusCode: status}}
	}
	for name, c := range map[string]struct {
		met    float64
		answer *kernel.Answer
		err    error
		want   float64
	}{
		"served at once":            {0.1, answered(http.StatusOK), nil, 0.1},
		"served after a wait":       {3, answered(http.StatusOK), nil, 3},
		"a call of it was refused":  {4, answered(http.StatusInternalServerError), nil, wastedPressure},
		"refused everywhere":        {4, nil, result.New(result.Overloaded, "test"), wastedPressure},
		"it waited longer still":    {12, nil, result.New(result.DeadlineExceeded, "test"), 12},
		"the back end failed":       {0.1, answered(http.StatusInternalServerError), nil, 0.1},
		"the connection was broken": {0, nil, result.New(result.ConnectionLost, "test"), 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(pressureOf(&kernel.Call{Pressure: c.met}, c.answer, c.err), c.want)
		})
	}
}

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
