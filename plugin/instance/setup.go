// Package instance tracks the back end of the node by its heartbeats and refuses requests while
// the back end is unknown or has left. Package instance at the root makes the decisions.
//
// It owns the state of the back end, and announces through plug-in membership whether peers may
// send requests to this node. It relies on package platform, which decodes the heartbeats, and on
// plug-in forward, which reports a back end that refuses connections.
package instance

import (
	"time"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/instance"
	"github.com/loomcleat/loomcleat/kernel"
)

const name = "instance"

func init() { kernel.Register(name, kernel.StageServices, setup) }

func setup(process *kernel.Process) error {
	if process.Settings.Heartbeats == "" {
		return nil
	}
	closeAfter := process.Settings.BackendDrain.Std() / closeDivisor
	p := &plugin{
		process:    process,
		closeAfter: closeAfter,
		tracker: instance.NewTracker(instance.Config{
			Service:    process.Settings.Service,
			Address:    process.Settings.Backend,
			CloseAfter: closeAfter,
			Recalls:    process.Store != nil,
		}),
		startedAt: clock.Now().Time(),
	}
	if process.Store != nil {
		p.record = newLeftRecord(process.Store, process.Settings.Backend)
		process.OnStart(p.keepRecord)
		process.OnStoreRestored(p.record.forgetStored)
		process.OnStart(p.awaitRecall)
	}
	initial := p.tracker.State()
	p.state.Store(&initial)
	process.BackEnd = p
	process.UseInbound(name, p.middleware)
	process.Loop.Every(announceInterval, func(time.Time) { p.announce() })
	return nil
}
