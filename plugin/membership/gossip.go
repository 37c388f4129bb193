package membership

import (
	"context"
	"net/http"
	"time"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/membership"
	"github.com/loomcleat/loomcleat/wire"
)

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
