// Package membership keeps the list of processes by gossip and publishes it to
// the process. The decisions are made by package membership at the root.
//
// It owns the list of members, the process's entry in the registry and its last reading of
// the machine list. Its messages carry the revisions of documents and the digest of the
// quarantine for the plug-ins that own these. It relies on the settings, and on the machine
// list where there is one, for addresses at which to find others.
package membership

import (
	"math/rand/v2"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/membership"
	"github.com/loomcleat/loomcleat/wire"
)

const name = "membership"

func init() { kernel.Register(name, kernel.StageServices, setup) }

// ticksPerGossip is how often the machine is looked at in each gossip interval.
const ticksPerGossip = 2

func setup(process *kernel.Process) error {
	interval := process.Settings.ProbeInterval.Std()
	m := &mesh{process: process, timeout: interval / 2, silent: map[string]bool{}}
	m.machine = membership.New(membership.Config{
		Self: membership.Member{
			ID:         process.ID,
			Control:    process.ControlAddress(),
			Traffic:    trafficAddress(process),
			Region:     process.Settings.Region,
			Zone:       process.Settings.Zone,
			Service:    process.Settings.Service,
			Generation: process.Started.UnixMilli(),
		},
		ProbeInterval: interval,
		ProbeTimeout:  m.timeout,
		Random:        rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		OnChange:      m.logChange,
	}, clock.Now().Time())
	m.machine.SetSeeds(process.Settings.Seeds)
	process.Mesh = m
	process.HandleControl("POST "+wire.PathGossip, m.serveGossip)
	process.HandleControl("POST "+wire.PathLeave, m.serveLeave)
	process.Loop.Every(interval/(membership.GossipsPerProbe*ticksPerGossip), m.tick)
	if process.Machines != nil {
		process.OnStart(m.pollMachines)
	}
	if process.Registry != nil {
		process.OnStart(m.register)
		process.OnDrain(m.deregister)
	}
	process.Metrics.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "loomcleat_members", Help: "Processes of the mesh that are not dead, as this one knows them.",
	}, m.countLive))
	return nil
}

// trafficAddress is empty for gateways, which nobody calls from inside.
func trafficAddress(process *kernel.Process) string {
	if !process.IsNode() {
		return ""
	}
	return process.TrafficAddress()
}

// mesh drives the membership machine of one process. The machine is owned by
// the control loop.
type mesh struct {
	process *kernel.Process
	machine *membership.Machine
	timeout time.Duration   // of one message
	silent  map[string]bool // addresses whose silence has been logged
}

// SetState implements kernel.Mesh. A process that has told its peers that it leaves
// stays leaving.
func (m *mesh) SetState(leaving, down bool) {
	m.machine.SetState(leaving || m.process.Announced(), down)
}

// SetVotes implements kernel.Mesh.
func (m *mesh) SetVotes(votes []string) { m.machine.SetVotes(votes) }

// SetSeeds implements kernel.Mesh.
func (m *mesh) SetSeeds(seeds []string) { m.machine.SetSeeds(seeds) }

// Announce implements kernel.Mesh.
func (m *mesh) Announce() { m.machine.Announce() }

func (m *mesh) countLive() float64 {
	count := 0
	for _, member := range *m.process.Members.Load() {
		if member.Status != membership.Dead {
			count++
		}
	}
	return float64(count)
}
