// Package membership keeps the list of processes by gossip and publishes it to
// the process. The decisions are made by package membership at the root.
package membership

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/event"
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
	process.Loop.Every(interval/(5*ticksPerGossip), m.tick)
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
	timeout time.Duration
	silent  map[string]bool // addresses whose silence has been logged
}

// SetState implements kernel.Mesh. A process that has told its peers that it leaves
// stays leaving.
func (m *mesh) SetState(leaving, down bool) {
	m.machine.SetState(leaving || m.process.Announced(), down)
}

// SetPlaces implements kernel.Mesh.
func (m *mesh) SetPlaces(places []string) { m.machine.SetPlaces(places) }

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

// tick runs on the control loop.
func (m *mesh) tick(now time.Time) {
	m.deliver(m.machine.Tick(now))
	m.publish(now)
}

func (m *mesh) publish(now time.Time) {
	if m.machine.TakeChanged() {
		m.process.PublishMembers(now, m.machine.Members())
	}
}

// deliver sends messages, each in a goroutine of its own.
func (m *mesh) deliver(sends []membership.Send) {
	for _, send := range sends {
		go m.exchange(send)
	}
}

// exchange sends one message and brings the outcome back to the control loop.
func (m *mesh) exchange(send membership.Send) {
	timeout := m.timeout
	if send.Message.Kind == membership.PingThrough {
		timeout *= 2 // the other process needs time for its own probe
	}
	asked := clock.Now().Time()
	reply, err := m.ask(send.To, send.Message, timeout)
	m.process.Loop.Post(func(now time.Time) {
		m.noteSilence(send, err)
		if err != nil {
			m.deliver(m.machine.Failed(now, send))
		} else {
			m.deliver(m.machine.Replied(now, send, reply.Membership))
		}
		m.publish(now)
	})
	if err == nil {
		m.heard(send.To, reply, asked)
	}
}

// noteSilence logs once that an address at which part of the mesh may be does not
// answer. It runs on the control loop.
func (m *mesh) noteSilence(send membership.Send, err error) {
	if err == nil {
		if m.silent[send.To] {
			m.process.Log.Emit(event.PeerRegained, "address", send.To)
		}
		delete(m.silent, send.To)
		return
	}
	if send.Message.Kind != membership.Sync || m.silent[send.To] {
		return
	}
	m.silent[send.To] = true
	m.process.Log.Emit(event.PeerUnreachable, "address", send.To, "error", err)
}

func (m *mesh) ask(address string, message membership.Message, timeout time.Duration) (wire.Envelope, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	envelope := m.envelope(message)
	var reply wire.Envelope
	err := m.process.Control.Invoke(ctx, address, http.MethodPost, wire.PathGossip, &envelope, &reply)
	return reply, err
}

// envelope adds to a message what this process knows beside the members.
func (m *mesh) envelope(message membership.Message) wire.Envelope {
	envelope := wire.Envelope{Membership: message, Revisions: m.process.Documents.Revisions()}
	if m.process.Quarantine != nil {
		envelope.Quarantine = m.process.Quarantine.Digest()
	}
	return envelope
}

// heard passes on what a peer knows beside the members. asked is when this process asked
// for it, zero when the peer told it unasked.
func (m *mesh) heard(peer string, envelope wire.Envelope, asked time.Time) {
	m.process.Documents.Heard(peer, envelope.Revisions, asked)
	if m.process.Quarantine != nil {
		m.process.Quarantine.Heard(peer, envelope.Quarantine)
	}
}

// serveGossip answers a message of a peer.
func (m *mesh) serveGossip(w http.ResponseWriter, r *http.Request) {
	var envelope wire.Envelope
	if !kernel.ReadJSON(w, r, &envelope) {
		return
	}
	reply, err := kernel.Ask(r.Context(), m.process.Loop, func(now time.Time) membership.Message {
		answer := m.machine.Receive(now, envelope.Membership)
		m.publish(now)
		return answer
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	if envelope.Membership.Kind == membership.PingThrough {
		reply.OK = m.probeFor(envelope.Membership.Target)
	}
	kernel.WriteJSON(w, m.envelope(reply))
	m.heard(envelope.Membership.From.Control, envelope, time.Time{})
}

// probeFor repeats a probe on behalf of another process.
func (m *mesh) probeFor(target string) bool {
	message, err := kernel.Ask(context.Background(), m.process.Loop, func(time.Time) membership.Message {
		return m.machine.PingMessage()
	})
	if err != nil {
		return false
	}
	_, err = m.ask(target, message, m.timeout)
	return err == nil
}

// serveLeave handles the news that the machine list shows this machine as
// leaving: the process takes no new calls, but does not stop by itself.
func (m *mesh) serveLeave(w http.ResponseWriter, r *http.Request) {
	// It fails when the sender has gone or this process ends. The sender tells again at its
	// next reading of the machine list, until this process says that it leaves.
	_ = m.process.Loop.Do(r.Context(), func(time.Time) { m.machine.SetState(true, false) })
	kernel.WriteJSON(w, wire.Empty{})
}

// logChange logs news of a member. It runs on the control loop.
func (m *mesh) logChange(before, after membership.Member) {
	switch {
	case after.ID == m.process.ID:
		announced := after.Leaving != before.Leaving || after.Down != before.Down || !slices.Equal(after.Places, before.Places)
		if !announced {
			m.process.Log.Emit(event.SelfRefuted, "incarnation", after.Version)
		}
	case before.ID == "":
		m.process.Log.Emit(event.MemberJoined, "member", after.ID, "service", after.Service, "zone", after.Zone)
	case after.Status == membership.Dead && before.Status != membership.Dead:
		m.process.Log.Emit(event.MemberDead, "member", after.ID)
	case after.Status == membership.Suspect && before.Status == membership.Alive:
		m.process.Log.Emit(event.MemberSuspected, "member", after.ID, "by", after.Accuser)
	case after.Status == membership.Alive && before.Status != membership.Alive:
		m.process.Log.Emit(event.MemberRecovered, "member", after.ID)
	case after.Leaving && !before.Leaving:
		m.process.Log.Emit(event.MemberLeaving, "member", after.ID)
	}
}
