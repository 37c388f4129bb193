package kernel

import (
	"math/rand/v2"

	"github.com/loomcleat/loomcleat/result"
)

// withRetryAfter returns a copy of err with the Retry-After for a caller outside the mesh. For
// a request refused because of overload, it is the time until the gate of the route
// would admit everything again if the overload ended now, plus a random spread. A request
// refused for a back end's rate limit waits at least until that back end has room. The
// Retry-After of other codes is kept. Other processes get every Retry-After as it is.
func (p *Process) withRetryAfter(call *Call, err error) *result.Error {
	advised := *result.From(err)
	if call == nil || !call.External {
		advised.FractionalRetryAfter = call != nil && call.Inbound
		return &advised
	}
	advised.FractionalRetryAfter = p.Dialect.FractionalRetryAfter
	conclusion := advised.Code.Conclusion()
	if !conclusion.Overload {
		return &advised
	}
	wait := call.CapacityAfter
	if conclusion.RateLimit {
		wait = max(wait, advised.RetryAfter)
	}
	advised.WithRetryAfter(result.SpreadWait(wait, rand.Float64()))
	return &advised
}
