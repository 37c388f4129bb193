package kernel

import (
	"math/rand/v2"

	"github.com/loomcleat/loomcleat/result"
)

// withRetryAfter returns a copy of err with the Retry-After for a caller outside the mesh. For
// a request refused because of overload, it is the time until the gate of the route
// would admit everything again if the overload ended now, plus a random spread. The
// Retry-After of other codes is kept.
func (p *Process) withRetryAfter(call *Call, err error) *result.Error {
	advised := *result.From(err)
	if call == nil || !call.External {
		return &advised
	}
	advised.FractionalRetryAfter = p.Dialect.FractionalRetryAfter
	if advised.Code.Conclusion().Overload {
		advised.WithRetryAfter(result.SpreadWait(call.CapacityAfter, rand.Float64()))
	}
	return &advised
}
