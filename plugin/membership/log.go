package membership

import (
	"slices"

	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/membership"
)

// logReachability logs when an address stops answering sync messages, and when it answers again.
// It runs on the control loop.
func (m *mesh) logReachability(send membership.Send, err error) {
	if err == nil {
		if m.unreachable[send.To] {
			m.process.Log.Emit(event.PeerRegained, "address", send.To)
		}
		delete(m.unreachable, send.To)
		return
	}
	if send.Message.Kind != membership.Sync || m.unreachable[send.To] {
		return
	}
	m.unreachable[send.To] = true
	m.process.Log.Emit(event.PeerUnreachable, "address", send.To, "error", err)
}

// logChange logs a change of a member's record. Announced changes of this process's own
// record are not logged. It runs on the control loop.
func (m *mesh) logChange(before, after membership.Member) {
	switch {
	case after.ID == m.process.ID:
		if !isAnnounced(before, after) {
			m.process.Log.Emit(event.SelfRefuted, "incarnation", after.Incarnation)
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

// isAnnounced reports whether a change of this process's own record is one that it announced.
func isAnnounced(before, after membership.Member) bool {
	return after.Leaving != before.Leaving || after.Down != before.Down || after.RateLimit != before.RateLimit ||
		after.LeftBackEnd != before.LeftBackEnd || !slices.Equal(after.Votes, before.Votes)
}
