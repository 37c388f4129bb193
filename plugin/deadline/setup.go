// Package deadline refuses requests that have no time left, before any work is done. It owns no
// state.
package deadline

import (
	"time"

	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/result"
)

const name = "deadline"

// minimumRemaining is the time left below which a request is refused.
const minimumRemaining = time.Millisecond

func init() { kernel.Register(name, kernel.StageTraffic, setup) }

func setup(process *kernel.Process) error {
	process.UseInbound(name, middleware)
	process.UseOutbound(name, middleware)
	return nil
}

func middleware(next kernel.Handler) kernel.Handler {
	return kernel.HandlerFunc(func(call *kernel.Call) (*kernel.Answer, error) {
		if call.Deadline.Left() < minimumRemaining {
			return nil, result.New(result.DeadlineTooShort, "no time is left for the request")
		}
		return next.Handle(call)
	})
}
