package shed

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/admission"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/policy"
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
		"a call of it was refused":  {4, answered(http.StatusInternalServerError), nil, admission.WastedPressure},
		"refused everywhere":        {4, nil, result.New(result.Overloaded, "test"), admission.WastedPressure},
		"it waited longer still":    {12, nil, result.New(result.DeadlineExceeded, "test"), 12},
		"the back end failed":       {0.1, answered(http.StatusInternalServerError), nil, 0.1},
		"the connection was broken": {0, nil, result.New(result.ConnectionLost, "test"), 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(pressureOf(&kernel.Call{Pressure: c.met}, c.answer, c.err, time.Second), c.want)
		})
	}
}

// TestAWaitIsMeasuredByTheObjective of the route: one that it bears closes no gate,
// however long it is beside what a node should let wait.
func TestAWaitIsMeasuredByTheObjective(t *testing.T) {
	const target = time.Second
	cases := []struct {
		name      string
		met       float64
		taken     time.Duration
		low, high float64
	}{
		{"no wait, slow back end", 0.5, 5 * time.Second, 0.5, 0.5},
		{"a wait, well in time", 5, 300 * time.Millisecond, 0.3, 0.6},
		{"a wait, in time", 5, 700 * time.Millisecond, 0.95, 1.05},
		{"a wait, late", 2, 1400 * time.Millisecond, 1.9, 2.1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			call := &kernel.Call{Pressure: c.met, Policy: policy.Effective{TargetLatency: target}}
			answer := &kernel.Answer{Response: &http.Response{StatusCode: http.StatusOK}}
			got := pressureOf(call, answer, nil, c.taken)
			is.True(got >= c.low && got <= c.high)
		})
	}
}
