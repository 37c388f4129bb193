// Package forward hands calls to the back end beside the node.
//
// It owns the connections to the back end and, where the back end sends no heartbeats,
// what is known of its health: whether it refuses connections and whether it is
// draining. Where it sends them, plug-in instance owns that.
package forward

import (
	"time"

	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/result"
)

const name = "forward"

// Bounds of the connections to the back end.
const (
	// dialTimeout bounds the opening of one. The back end is on the same machine, so that
	// one that takes as long is not going to be accepted.
	dialTimeout = time.Second
	// maximumIdle is how many idle ones are kept.
	maximumIdle = 64
	// idleTimeout closes idle ones. The back end's Keep-Alive header goes first.
	idleTimeout = 15 * time.Second
)

func init() { kernel.Register(name, kernel.StageTraffic, setup) }

func setup(process *kernel.Process) error {
	if !process.IsNode() {
		return nil
	}
	f := &forward{
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
		process.OnStart(f.watch)
	}
	return nil
}
