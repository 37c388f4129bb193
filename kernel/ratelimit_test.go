package kernel

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/result"
)

// TestRetryAfterOfRateLimits guards against a Retry-After that brings a caller back before there is
// room for its request, and against one that is rounded up between processes.
func TestRetryAfterOfRateLimits(t *testing.T) {
	const soon, late = 400 * time.Millisecond, 1700 * time.Millisecond
	cases := []struct {
		name    string
		code    result.Code
		refused time.Duration // computed where the request was refused
		gate    time.Duration // until the gate of the route admits everything
		least   time.Duration
		most    time.Duration
	}{
		{"rate limit, then the gate", result.RateLimited, soon, late, late, late * 3 / 2},
		{"rate limit later than the gate", result.RateLimited, late, soon, late, late * 3 / 2},
		{"overload: the gate knows best", result.Overloaded, late, soon, soon, soon * 3 / 2},
		{"no overload", result.QuotaExceeded, late, soon, late, late},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			process := &Process{}
			refusal := result.New(c.code, "test").WithRetryAfter(c.refused)
			advised := process.withRetryAfter(&Call{External: true, CapacityAfter: c.gate}, refusal)
			is.True(advised.RetryAfter >= c.least && advised.RetryAfter <= c.most)
			between := process.withRetryAfter(&Call{Inbound: true}, refusal)
			is.True(between.FractionalRetryAfter)
			is.Equal(between.RetryAfter, c.refused)
		})
	}
}
