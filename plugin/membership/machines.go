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
	// pollerCount is the number of processes that poll. The others discover members by gossip.
	pollerCount = 3
	// pollInterval is the mean time between two polls.
	pollInterval = 2 * time.Second
	// earlyPolls is the number of polls after the start that are earlyInterval apart, to
	// discover processes that start at the same time.
	earlyPolls    = 4
	earlyInterval = 400 * time.Millisecond
)

// pollMachines polls the machine list, if this process is one of the pollers, until ctx is
// done. The list provides seed addresses and shows which machines are leaving. It never
// removes a member.
func (m *mesh) pollMachines(ctx context.Context) {
	reachable, polls := true, 0
	for ctx.Err() == nil {
		if m.isPoller() {
			machines, err := m.process.Machines.List(ctx)
			if (err == nil) != reachable && ctx.Err() == nil {
				reachable = err == nil
				m.logMachineList(err)
			}
			if err == nil {
				m.applyMachines(ctx, machines)
			}
		}
		wait := pollInterval
		if polls++; polls <= earlyPolls {
			wait = earlyInterval
		}
		kernel.Pause(ctx, wait/2+rand.N(wait))
	}
}

// logMachineList logs that the machine list can be read again, or the error if it can't.
func (m *mesh) logMachineList(err error) {
	if err != nil {
		m.process.Log.Emit(event.MachineListDown, "error", err)
		return
	}
	m.process.Log.Emit(event.MachineListUp)
}

// isPoller reports whether this process is one of the pollers.
func (m *mesh) isPoller() bool {
	return spread.Watches(m.process.ID, kernel.LiveIDs(*m.process.Members.Load()), pollerCount)
}

// applyMachines applies a reading of the machine list: it stores the reading, updates the
// seeds, and notifies members whose machines are leaving.
func (m *mesh) applyMachines(ctx context.Context, machines []store.Machine) {
	m.process.MachineState.Store(&kernel.MachineState{At: clock.Now(), Machines: machines})
	listed := []string{}
	leaving := map[string]bool{}
	for _, machine := range machines {
		if machine.State == store.MachineLeaving {
			leaving[machine.Control] = true
		} else {
			listed = append(listed, machine.Control)
		}
	}
	m.process.Loop.Post(func(time.Time) {
		m.listed = listed
		m.applySeeds()
	})
	for _, member := range *m.process.Members.Load() {
		if leaving[member.Control] && !member.Leaving && member.Status != membership.Dead {
			m.requestLeave(ctx, member.Control)
		}
	}
}

// requestLeave notifies a member that the machine list shows its machine as leaving. The error
// is dropped: each reading repeats the request until the member announces that it leaves.
func (m *mesh) requestLeave(ctx context.Context, control string) {
	ctx, cancel := context.WithTimeout(ctx, m.timeout)
	defer cancel()
	_ = m.process.Control.Invoke(ctx, control, http.MethodPost, wire.PathLeave, &wire.Leave{}, &wire.Empty{})
}

// serveLeave handles a request sent because the machine list shows this machine as leaving.
// The process announces that it leaves, so that it gets no new calls, but it does not stop.
func (m *mesh) serveLeave(w http.ResponseWriter, r *http.Request) {
	// An error is dropped: the sender has disconnected or this process is stopping. The sender
	// repeats the request until this process announces that it leaves.
	_ = m.process.Loop.Do(r.Context(), func(time.Time) {
		m.machineLeaving = true
		m.SetState(true, m.stateMachine.Self().Down)
	})
	kernel.WriteJSON(w, wire.Empty{})
}
