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

// TestFailurePressure checks that a call that fails under pressure raises its pressure, and guards
// against closing the gate for failures without pressure.
func TestFailurePressure(t *testing.T) {
	newAnswer := func(status int) *kernel.Answer {
		return &kernel.Answer{Response: &http.Response{StatusCode: status}}
	}
	for name, c := range map[string]struct {
		pressure float64
		answer   *kernel.Answer
		err      error
		want     float64
	}{
		"served at once":          {0.1, newAnswer(http.StatusOK), nil, 0.1},
		"served after a wait":     {3, newAnswer(http.StatusOK), nil, 3},
		"downstream call refused": {4, newAnswer(http.StatusInternalServerError), nil, admission.WastedPressure},
		"refused by all nodes":    {4, nil, result.New(result.Overloaded, "test"), admission.WastedPressure},
		"timed out after a wait":  {12, nil, result.New(result.DeadlineExceeded, "test"), 12},
		"back end failed":         {0.1, newAnswer(http.StatusInternalServerError), nil, 0.1},
		"connection broken":       {0, nil, result.New(result.ConnectionLost, "test"), 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(pressureOf(&kernel.Call{Pressure: c.pressure}, c.answer, c.err, time.Second), c.want)
		})
	}
}

// TestWaitPressure guards against closing a gate while calls wait at nodes for long but still
// meet the target latency of the route.
func TestWaitPressure(t *testing.T) {
	const target = time.Second
	cases := []struct {
		name      string
		pressure  float64
		taken     time.Duration
		low, high float64
	}{
		{"no wait, slow back end", 0.5, 5 * time.Second, 0.5, 0.5},
		{"wait, well in time", 5, 300 * time.Millisecond, 0.3, 0.6},
		{"wait, just in time", 5, 700 * time.Millisecond, 0.95, 1.05},
		{"wait, late", 2, 1400 * time.Millisecond, 1.9, 2.1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			call := &kernel.Call{Pressure: c.pressure, Policy: policy.Effective{TargetLatency: target}}
			answer := &kernel.Answer{Response: &http.Response{StatusCode: http.StatusOK}}
			got := pressureOf(call, answer, nil, c.taken)
			is.True(got >= c.low && got <= c.high)
		})
	}
}
