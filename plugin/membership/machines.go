package membership

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/membership"
	"github.com/loomcleat/loomcleat/spread"
	"github.com/loomcleat/loomcleat/store"
	"github.com/loomcleat/loomcleat/wire"
)

// Polling of the machine list. Only a few processes poll, the others hear of
// members by gossip.
const (
	pollInterval   = 2 * time.Second
	machineWatches = 3
	// At its start a process looks more often, for others that start as well.
	earlyPolls    = 4
	earlyInterval = 400 * time.Millisecond
)

// pollMachines reads the machine list now and then. The list adds addresses to
// try and tells machines that they are leaving. It never removes a member.
func (m *mesh) pollMachines(ctx context.Context) {
	reachable, polls := true, 0
	for {
		if m.watches() {
			machines, err := m.process.Machines.List(ctx)
			if (err == nil) != reachable && ctx.Err() == nil {
				reachable = err == nil
				m.logReachable(err)
			}
			if err == nil {
				m.use(ctx, machines)
			}
		}
		wait := pollInterval
		if polls++; polls <= earlyPolls {
			wait = earlyInterval
		}
		select {
		case <-time.After(wait/2 + rand.N(wait)):
		case <-ctx.Done():
			return
		}
	}
}

func (m *mesh) logReachable(err error) {
	if err != nil {
		m.process.Log.Emit(event.MachineListDown, "error", err)
		return
	}
	m.process.Log.Emit(event.MachineListUp)
}

// watches reports whether this process is one of those that poll.
func (m *mesh) watches() bool {
	return spread.Watches(m.process.ID, kernel.LiveIDs(*m.process.Members.Load()), machineWatches)
}

func (m *mesh) use(ctx context.Context, machines []store.Machine) {
	m.process.MachineState.Store(&kernel.MachineState{At: clock.Now(), Machines: machines})
	seeds := append([]string{}, m.process.Settings.Seeds...)
	leaving := map[string]bool{}
	for _, machine := range machines {
		if machine.State == store.MachineLeaving {
			leaving[machine.Control] = true
		} else {
			seeds = append(seeds, machine.Control)
		}
	}
	m.process.Loop.Post(func(time.Time) { m.machine.SetSeeds(seeds) })
	for _, member := range *m.process.Members.Load() {
		if leaving[member.Control] && !member.Leaving && member.Status != membership.Dead {
			tell, cancel := context.WithTimeout(ctx, m.timeout)
			_ = m.process.Control.Invoke(tell, member.Control, http.MethodPost, wire.PathLeave, &wire.Leave{}, &wire.Empty{})
			cancel()
		}
	}
}
