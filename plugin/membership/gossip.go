package membership

import (
	"context"
	"net/http"
	"time"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/membership"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/wire"
)

// tick advances the state machine. It runs on the control loop.
func (m *mesh) tick(now time.Time) {
	m.sendAll(m.stateMachine.Tick(now))
	m.publish(now)
}

// publish publishes the list of members to the process if it has changed. It runs on the
// control loop.
func (m *mesh) publish(now time.Time) {
	if m.stateMachine.TakeChanged() {
		m.process.PublishMembers(now, m.stateMachine.Members())
	}
}

// sendAll sends messages, each in its own goroutine.
func (m *mesh) sendAll(sends []membership.Send) {
	for _, send := range sends {
		go m.exchange(send)
	}
}

// exchange sends one message and passes the reply or the failure to the state machine, on the
// control loop.
func (m *mesh) exchange(send membership.Send) {
	timeout := m.timeout
	if send.Message.Kind == membership.PingThrough {
		timeout *= 2 // The other process needs time for its own probe.
	}
	requestedAt := clock.Now().Time()
	reply, err := m.request(send.To, send.Message, timeout)
	m.process.Loop.Post(func(now time.Time) {
		m.logReachability(send, err)
		if err != nil {
			m.sendAll(m.stateMachine.Failed(now, send))
		} else {
			m.sendAll(m.stateMachine.Replied(now, send, reply.Membership))
		}
		m.publish(now)
	})
	if err == nil {
		m.dispatch(send.To, reply, requestedAt)
	}
}

// request sends a message to a control address and returns the reply.
func (m *mesh) request(address string, message membership.Message, timeout time.Duration) (wire.Envelope, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	envelope := m.envelope(message)
	var reply wire.Envelope
	err := m.process.Control.Invoke(ctx, address, http.MethodPost, wire.PathGossip, &envelope, &reply)
	if err != nil {
		return reply, err
	}
	reply.Membership, err = m.dropInvalidRecords(reply.Membership)
	return reply, err
}

// envelope adds the revisions of documents and the digest of the quarantine to a message.
func (m *mesh) envelope(message membership.Message) wire.Envelope {
	envelope := wire.Envelope{Membership: message, Revisions: m.process.Documents.Revisions()}
	if m.process.Quarantine != nil {
		envelope.Quarantine = m.process.Quarantine.Digest()
	}
	return envelope
}

// dispatch passes the revisions and the digest in a peer's envelope to the plug-ins that own
// them. requestedAt is when this process sent the request, zero for an unsolicited message.
func (m *mesh) dispatch(peer string, envelope wire.Envelope, requestedAt time.Time) {
	m.process.Documents.ObservePeerRevisions(peer, envelope.Revisions, requestedAt)
	if m.process.Quarantine != nil {
		m.process.Quarantine.ObservePeerDigest(peer, envelope.Quarantine)
	}
}

// serveGossip answers a message from a peer.
func (m *mesh) serveGossip(w http.ResponseWriter, r *http.Request) {
	var envelope wire.Envelope
	if !kernel.ReadJSON(w, r, &envelope) {
		return
	}
	var err error
	if envelope.Membership, err = m.dropInvalidRecords(envelope.Membership); err != nil {
		result.From(err).WriteHTTP(w)
		return
	}
	reply, err := kernel.Query(r.Context(), m.process.Loop, func(now time.Time) membership.Message {
		answer := m.stateMachine.Receive(now, envelope.Membership)
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
	m.dispatch(envelope.Membership.From.Control, envelope, time.Time{})
}

// probeFor probes an address on behalf of another process and reports whether it answered.
func (m *mesh) probeFor(target string) bool {
	message, err := kernel.Query(context.Background(), m.process.Loop, func(time.Time) membership.Message {
		return m.stateMachine.PingMessage()
	})
	if err != nil {
		return false
	}
	_, err = m.request(target, message, m.timeout)
	return err == nil
}
