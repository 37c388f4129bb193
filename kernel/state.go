package kernel

import (
	"time"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/membership"
	"github.com/loomcleat/loomcleat/store"
	"github.com/loomcleat/loomcleat/wire"
)

// ReportedLoad is the load that a back end reported, and when.
type ReportedLoad struct {
	wire.BackEndLoad
	At time.Time
}

// Occupancy is how busy the back end beside this process is.
type Occupancy struct {
	// Level is the lowest priority that is admitted now.
	Level int
	// Load is the number of requests that the back end works on or that wait, as a
	// share of those that it works on at a time.
	Load float64
	// Faults is the share of requests that the back end failed by itself lately.
	Faults float64
}

// MachineState is one reading of the machine list.
type MachineState struct {
	At       clock.Instant
	Machines []store.Machine
}

// LiveIDs returns the ids of the members that are not dead or leaving.
func LiveIDs(members []membership.Member) []string {
	ids := make([]string, 0, len(members))
	for _, member := range members {
		if member.Status != membership.Dead && !member.Leaving {
			ids = append(ids, member.ID)
		}
	}
	return ids
}

// PublishMembers makes a new state of the mesh known. It is called on the
// control loop.
func (p *Process) PublishMembers(now time.Time, members []membership.Member) {
	p.Members.Store(&members)
	for _, changed := range p.hooks.members {
		changed(now, members)
	}
}

// Status returns what the process knows of itself and the mesh.
func (p *Process) Status() wire.Status {
	status := wire.Status{
		ID:        p.ID,
		Role:      string(p.Settings.Role),
		Region:    p.Settings.Region,
		Zone:      p.Settings.Zone,
		Service:   p.Settings.Service,
		Ready:     p.Ready(),
		Leaving:   p.Leaving(),
		Revisions: p.Documents.Revisions(),
		Members:   *p.Members.Load(),
		InFlight:  p.inFlight.Load(),
	}
	for _, fill := range p.hooks.status {
		fill(&status)
	}
	return status
}
