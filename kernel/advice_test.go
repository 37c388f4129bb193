package kernel

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/wire"
)

// TestRetryAfterOfRefusals guards against clients that retry in step after an overload,
// and against a Retry-After in a form that the caller does not understand.
func TestRetryAfterOfRefusals(t *testing.T) {
	const capacity = 400 * time.Millisecond
	cases := []struct {
		name          string
		fractional    bool
		external      bool
		capacityAfter time.Duration
		code          result.Code
		low, high     string
	}{
		{"overload", true, true, capacity, result.ShedEarly, "0.400", "0.600"},
		{"full", true, true, capacity, result.Overloaded, "0.400", "0.600"},
		{"refused by back ends", true, true, capacity, result.BackendRefused, "0.400", "0.600"},
		{"wait not computed", true, true, 0, result.ShedEarly, "1.000", "1.000"},
		{"whole seconds only", false, true, capacity, result.ShedEarly, "1", "1"},
		{"another process", true, false, capacity, result.Overloaded, "2", "2"},
		{"node unreachable", true, true, capacity, result.NodeRefused, "2.000", "2.000"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := &Process{Dialect: wire.Dialect{FractionalRetryAfter: c.fractional}}
			refused := result.New(c.code, "test").WithRetryAfter(2 * time.Second)
			sent := map[string]bool{}
			for range 50 {
				recorder := httptest.NewRecorder()
				p.withRetryAfter(&Call{External: c.external, CapacityAfter: c.capacityAfter}, refused).WriteHTTP(recorder)
				got := recorder.Header().Get("Retry-After")
				is.True(got >= c.low && got <= c.high) // same length, so strings compare like numbers
				sent[got] = true
			}
			is.Equal(len(sent) > 1, c.low != c.high)    // waits are spread
			is.Equal(refused.RetryAfter, 2*time.Second) // the original error is unchanged
		})
	}
}
