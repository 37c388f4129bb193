// Package forward sends calls to the back end of the node.
//
// It owns the connections to the back end. If the back end sends no heartbeats, it also owns the
// health of the back end: whether it refuses connections and whether it is draining. Otherwise
// plug-in instance owns that state.
package forward

import (
	"time"

	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/result"
)

const name = "forward"

// Limits of the connections to the back end.
const (
	// dialTimeout is long for a back end on the same machine: a connection that takes longer
	// won't be accepted.
	dialTimeout = time.Second
	// maximumIdle is the number of idle connections that are kept.
	maximumIdle = 64
	// idleTimeout applies unless the back end's Keep-Alive header sets another one.
	idleTimeout = 15 * time.Second
)

func init() { kernel.Register(name, kernel.StageTraffic, setup) }

func setup(process *kernel.Process) error {
	if !process.IsNode() {
		return nil
	}
	f := &forwarder{
		process: process,
		transmitter: kernel.NewTransmitter(kernel.TransmitterConfig{
			DialTimeout: dialTimeout,
			MaximumIdle: maximumIdle,
			IdleTimeout: idleTimeout,
			Refused:     result.BackendUnreachable,
		}),
	}
	process.UseInbound(name, func(kernel.Handler) kernel.Handler { return kernel.HandlerFunc(f.handle) })
	if process.BackEnd == nil {
		process.OnStart(f.pollHealth)
	}
	return nil
}
