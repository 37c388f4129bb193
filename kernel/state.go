package kernel

import (
	"time"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/membership"
	"github.com/loomcleat/loomcleat/store"
	"github.com/loomcleat/loomcleat/wire"
)

// ReportedLoad is a load reported by a back end and the time of the report.
type ReportedLoad struct {
	wire.BackEndLoad
	At time.Time
}

// Occupancy is the occupancy of the back end of this node.
type Occupancy struct {
	// Level is the lowest priority that is currently admitted.
	Level int
	// Load is the number of requests in flight or queued, divided by the concurrency
	// limit of the back end.
	Load float64
	// FaultRate is the share of recent requests that failed by a fault of the back end
	// itself.
	FaultRate float64
}

// MachineState is one reading of the machine list.
type MachineState struct {
	At       clock.Instant
	Machines []store.Machine
}

// LiveIDs returns the IDs of the members that are neither dead nor leaving.
func LiveIDs(members []membership.Member) []string {
	ids := make([]string, 0, len(members))
	for _, member := range members {
		if member.Status != membership.Dead && !member.Leaving {
			ids = append(ids, member.ID)
		}
	}
	return ids
}

// PublishMembers replaces Members and runs the OnMembers functions. It is called on the
// control loop.
func (p *Process) PublishMembers(now time.Time, members []membership.Member) {
	p.Members.Store(&members)
	for _, changed := range p.hooks.members {
		changed(now, members)
	}
}

// Status returns the status of the process and its view of the mesh.
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
