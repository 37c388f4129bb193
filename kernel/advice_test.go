package kernel

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/policy"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/wire"
)

// TestWhatARefusedCallerIsTold: after overload a part of the route's target, so that the
// second try can still be in time; whole seconds where callers know no fractions; and
// for what is absent, the wait that its refusal names.
func TestWhatARefusedCallerIsTold(t *testing.T) {
	cases := []struct {
		name       string
		fractional bool
		external   bool
		target     time.Duration
		code       result.Code
		want       string
	}{
		{"overload", true, true, 1200 * time.Millisecond, result.ShedEarly, "0.300"},
		{"full", true, true, 1200 * time.Millisecond, result.Overloaded, "0.300"},
		{"a fast route", true, true, 100 * time.Millisecond, result.ShedEarly, "0.100"},
		{"a slow route", true, true, time.Minute, result.ShedEarly, "1.000"},
		{"no target", true, true, 0, result.ShedEarly, "1.000"},
		{"whole seconds only", false, true, 1200 * time.Millisecond, result.ShedEarly, "1"},
		{"another process", true, false, 1200 * time.Millisecond, result.Overloaded, "2"},
		{"a node is absent", true, true, 1200 * time.Millisecond, result.NodeRefused, "2.000"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := &Process{Dialect: wire.Dialect{FractionalRetryAfter: c.fractional}}
			call := &Call{External: c.external, Policy: policy.Effective{TargetLatency: c.target}}
			refused := result.New(c.code, "test").WithRetryAfter(2 * time.Second)
			recorder := httptest.NewRecorder()
			p.advise(call, refused).WriteHTTP(recorder)
			is.Equal(recorder.Header().Get("Retry-After"), c.want)
			is.Equal(refused.RetryAfter, 2*time.Second) // the error itself is not changed
		})
	}
}
