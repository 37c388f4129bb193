package kernel

import (
	"time"

	"github.com/loomcleat/loomcleat/result"
)

// When a caller that was refused for overload may come again. Load follows demand within
// fractions of a second, and an answer to the second try within the target latency is
// worth as much to the user as one to the first.
const (
	// retryAfterShare is the part of the route's target latency after which a caller may
	// come again. With a quarter, the second try has most of the target left.
	retryAfterShare = 4
	// shortestRetryAfter keeps callers of fast routes from coming back before anything
	// can have changed.
	shortestRetryAfter = 100 * time.Millisecond
	// usualRetryAfter is told where no target is known, or only whole seconds can be.
	usualRetryAfter = time.Second
)

// OverloadRetryAfter returns when a caller that is refused for overload may come again.
func (p *Process) OverloadRetryAfter(call *Call) time.Duration {
	target := call.Policy.TargetLatency
	if !p.Dialect.FractionalRetryAfter || target <= 0 {
		return usualRetryAfter
	}
	return min(max(target/retryAfterShare, shortestRetryAfter), usualRetryAfter)
}

// advise returns an error with what a caller outside the mesh is told about coming
// again. Waits for something that is absent, such as a node that is being started, stay
// as they are.
func (p *Process) advise(call *Call, err error) *result.Error {
	advised := *result.From(err)
	if call == nil || !call.External {
		return &advised
	}
	advised.FractionalRetryAfter = p.Dialect.FractionalRetryAfter
	switch advised.Code {
	case result.ShedEarly, result.Overloaded, result.BackendRefused:
		advised.RetryAfter = p.OverloadRetryAfter(call)
	}
	return &advised
}
