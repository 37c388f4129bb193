// Package instance follows the heartbeats of the back end beside the node and
// refuses requests while the back end is unknown or has left. The decisions are
// made by package instance at the root.
//
// It owns what is known of the back end, and announces to peers through plugin membership
// whether requests may be sent here. It relies on package platform, which decodes the
// heartbeats, and on plugin forward, which reports a back end that refuses connections.
package instance

import (
	"time"

	"github.com/loomcleat/loomcleat/instance"
	"github.com/loomcleat/loomcleat/kernel"
)

const name = "instance"

func init() { kernel.Register(name, kernel.StageServices, setup) }

func setup(process *kernel.Process) error {
	if process.Settings.Heartbeats == "" {
		return nil
	}
	p := &plugin{
		process: process,
		tracker: instance.NewTracker(instance.Config{
			Service:    process.Settings.Service,
			CloseAfter: process.Settings.BackendDrain.Std() / closeDivisor,
		}),
	}
	p.state.Store(&instance.State{})
	process.BackEnd = p
	process.UseInbound(name, p.middleware)
	process.Loop.Every(announceInterval, func(time.Time) { p.announce() })
	return nil
}
