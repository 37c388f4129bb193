package membership

import (
	"slices"

	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/membership"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/store"
)

// maximumOrder bounds the generation and the incarnation of a record. Both grow from there by one at a
// time, without an overflow.
const maximumOrder = 1 << 62

// isValidRecord reports whether a process can have written a record.
func isValidRecord(member membership.Member) bool {
	return member.ID != "" &&
		store.IsAddress(member.Control) &&
		(member.Traffic == "" || store.IsAddress(member.Traffic)) &&
		membership.Alive <= member.Status && member.Status <= membership.Dead &&
		0 <= member.Generation && member.Generation <= maximumOrder &&
		member.Incarnation <= maximumOrder &&
		(member.RateLimit == nil || member.RateLimit.Valid())
}

// dropInvalidRecords returns a message without the updates that no process can have written. It returns a
// result.BadRequest error if that holds for its sender.
func (m *mesh) dropInvalidRecords(message membership.Message) (membership.Message, error) {
	if !isValidRecord(message.From) {
		m.logRefused(message.From)
		return message, result.New(result.BadRequest, "the sender %.40q is no member", message.From.ID)
	}
	message.Updates = slices.DeleteFunc(message.Updates, func(member membership.Member) bool {
		refused := !isValidRecord(member)
		if refused {
			m.logRefused(member)
		}
		return refused
	})
	return message, nil
}

func (m *mesh) logRefused(member membership.Member) {
	const maximumLogged = 80 // bytes of a text that anyone may have written
	bounded := func(text string) string { return text[:min(len(text), maximumLogged)] }
	m.process.Log.Emit(event.MemberRefused, "member", bounded(member.ID), "control", bounded(member.Control), "traffic", bounded(member.Traffic),
		"status", int(member.Status), "generation", member.Generation, "incarnation", member.Incarnation)
}
