// Package membership maintains the list of members by gossip and publishes it in the process.
// The root package membership holds the state machine that makes the decisions.
//
// It owns the list of members, the process's entry in the registry, and the last reading of
// the machine list. Its messages also carry the revisions of documents and the digest of the
// quarantine, for the plug-ins that own these. It relies on the settings and, if there is
// one, on the machine list for addresses of other processes.
package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/membership"
	"github.com/loomcleat/loomcleat/ratelimit"
	"github.com/loomcleat/loomcleat/wire"
)

const name = "membership"

func init() { kernel.Register(name, kernel.StageServices, setup) }

// ticksPerGossip is the number of ticks of the state machine in each gossip interval.
const ticksPerGossip = 2

func setup(process *kernel.Process) error {
	interval := process.Settings.ProbeInterval.Std()
	m := &mesh{process: process, timeout: interval / 2, unreachable: map[string]bool{}, restored: make(chan struct{}, 1)}
	m.stateMachine = membership.New(membership.Config{
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
		OnPredecessor: m.recallPredecessor,
		OnSynced:      m.recordSynced,
	}, clock.Now().Time())
	m.SetSeeds(process.Settings.Seeds)
	process.Mesh = m
	process.HandleControl("POST "+wire.PathGossip, m.serveGossip)
	process.HandleControl("POST "+wire.PathLeave, m.serveLeave)
	process.Loop.Every(interval/(membership.GossipsPerProbe*ticksPerGossip), m.tick)
	if process.Machines != nil {
		process.OnStart(m.pollMachines)
	}
	if process.Registry != nil {
		process.OnStoreRestored(func() { kernel.Wake(m.restored) })
		process.OnStart(m.keepRegistered)
		process.OnDrain(m.deregister)
	}
	process.Metrics.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "loomcleat_members", Help: "Processes of the mesh that are not dead, as this one knows them.",
	}, m.countLive))
	return nil
}

// trafficAddress returns the address for calls from other processes. It is empty for gateways,
// which get no calls from inside the mesh.
func trafficAddress(process *kernel.Process) string {
	if !process.IsNode() {
		return ""
	}
	return process.TrafficAddress()
}

// mesh drives the membership state machine of one process. The control loop owns the state
// machine and all fields behind it but timeout.
type mesh struct {
	process      *kernel.Process
	stateMachine *membership.Machine
	// The machine list has shown this machine as leaving.
	machineLeaving bool
	// Seeds of the settings, and addresses of the machine list.
	seeds, listed []string
	// Bound of one message exchange.
	timeout time.Duration
	// Addresses that have been logged as unreachable.
	unreachable map[string]bool
	// Wakes keepRegistered when the store was restored from an older copy.
	restored chan struct{}
}

// SetState implements kernel.Mesh. A process that has announced that it leaves, or whose machine is
// leaving by the machine list, stays leaving.
func (m *mesh) SetState(leaving, down bool) {
	m.stateMachine.SetState(leaving || m.machineLeaving || m.process.LeaveAnnounced(), down)
}

// SetRateLimit implements kernel.Mesh.
func (m *mesh) SetRateLimit(limit *ratelimit.Rate) { m.stateMachine.SetRateLimit(limit) }

// SetLeftBackEnd implements kernel.Mesh.
func (m *mesh) SetLeftBackEnd(left membership.BackEndStart) { m.stateMachine.SetLeftBackEnd(left) }

// recallPredecessor passes on what a process that ran here before had acknowledged.
func (m *mesh) recallPredecessor(now time.Time, predecessor membership.Member) {
	if m.process.BackEnd != nil {
		m.process.BackEnd.RecallPredecessor(now, predecessor)
	}
}

// recordSynced passes on that a peer has told all processes that it knows to have run here before.
func (m *mesh) recordSynced(peer membership.Member) {
	if m.process.BackEnd != nil {
		running := time.Duration(m.stateMachine.Self().Generation-peer.Generation) * time.Millisecond
		m.process.BackEnd.RecallFromPeer(running)
	}
}

// SetVotes implements kernel.Mesh.
func (m *mesh) SetVotes(votes []string) { m.stateMachine.SetVotes(votes) }

// SetSeeds implements kernel.Mesh.
func (m *mesh) SetSeeds(seeds []string) {
	m.seeds = seeds
	m.applySeeds()
}

// applySeeds tries the seeds of the settings and the addresses of the machine list.
func (m *mesh) applySeeds() {
	m.stateMachine.SetSeeds(slices.Concat(m.seeds, m.listed))
}

// Announce implements kernel.Mesh.
func (m *mesh) Announce() { m.stateMachine.Announce() }

func (m *mesh) countLive() float64 {
	count := 0
	for _, member := range *m.process.Members.Load() {
		if member.Status != membership.Dead {
			count++
		}
	}
	return float64(count)
}
