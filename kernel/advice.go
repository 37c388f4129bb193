package kernel

import (
	"math/rand/v2"

	"github.com/loomcleat/loomcleat/result"
)

// advise returns an error with what a caller outside the mesh is told about coming
// again. One that was refused for overload is told when the gate of its route admits
// everything, if the overload ends now. Waits for something that is absent, such as a
// node that is being restarted, stay as they are.
func (p *Process) advise(call *Call, err error) *result.Error {
	advised := *result.From(err)
	if call == nil || !call.External {
		return &advised
	}
	advised.FractionalRetryAfter = p.Dialect.FractionalRetryAfter
	if advised.Code.Conclusion().Overload {
		advised.WithRetryAfter(result.SpreadWait(call.RoomAfter, rand.Float64()))
	}
	return &advised
}
