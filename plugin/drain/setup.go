// Package drain refuses new requests at a stopping process after its announce time. It owns no
// state: the kernel decides when the process drains.
package drain

import (
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/result"
)

const name = "drain"

func init() { kernel.Register(name, kernel.StageTraffic, setup) }

func setup(process *kernel.Process) error {
	middleware := func(next kernel.Handler) kernel.Handler {
		return kernel.HandlerFunc(func(call *kernel.Call) (*kernel.Answer, error) {
			// Calls of this node's back end are still passed on: they belong to requests in flight.
			isNew := call.Inbound || call.External
			if isNew && process.Draining() {
				return nil, result.New(result.Draining, "%s is stopping", process.ID).WithUsualRetryAfter()
			}
			return next.Handle(call)
		})
	}
	process.UseInbound(name, middleware)
	process.UseOutbound(name, middleware)
	return nil
}
