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

// Polling of the machine list.
const (
	// pollers is the number of processes that poll. The others hear of members by gossip.
	pollers = 3
	// pollInterval is the mean time between two polls.
	pollInterval = 2 * time.Second
	// earlyPolls is the number of polls after the start that are earlyInterval apart, to
	// find others that start as well.
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
	return spread.Watches(m.process.ID, kernel.LiveIDs(*m.process.Members.Load()), pollers)
}

// use takes a reading of the machine list.
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
			m.requestLeave(ctx, member.Control)
		}
	}
}

// requestLeave tells a member that the machine list shows its machine as leaving. The error
// is dropped: until the member says that it leaves, the next reading tells it again.
func (m *mesh) requestLeave(ctx context.Context, control string) {
	ctx, cancel := context.WithTimeout(ctx, m.timeout)
	defer cancel()
	_ = m.process.Control.Invoke(ctx, control, http.MethodPost, wire.PathLeave, &wire.Leave{}, &wire.Empty{})
}

// serveLeave handles the news that the machine list shows this machine as
// leaving: the process takes no new calls, but does not stop by itself.
func (m *mesh) serveLeave(w http.ResponseWriter, r *http.Request) {
	// It fails when the sender has gone or this process ends. The sender tells again at its
	// next reading of the machine list, until this process says that it leaves.
	_ = m.process.Loop.Do(r.Context(), func(time.Time) { m.machine.SetState(true, false) })
	kernel.WriteJSON(w, wire.Empty{})
}
