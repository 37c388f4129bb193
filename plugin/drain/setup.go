// Package drain refuses new requests once a stopping process has told its peers.
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
			// Calls of the own back end go on: they belong to requests in flight.
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
