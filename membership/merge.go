package membership

import (
	"math"
	"slices"
	"time"
)

// apply merges a received record.
func (m *Machine) apply(now time.Time, received Member) {
	if received.ID == m.self.ID {
		m.refute(received)
		return
	}
	if m.resolveAddressConflict(now, received) {
		return
	}
	known, exists := m.members[received.ID]
	switch {
	case !exists:
		m.add(now, received)
	case supersedes(received, known.Member):
		m.replace(now, known, received)
	}
}

// supersedes reports whether a is a later record of a member than b.
func supersedes(a, b Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Status > b.Status
}

// refute raises the incarnation of this process if the received record declares it
// suspected or dead.
func (m *Machine) refute(received Member) {
	if received.Incarnation < m.self.Incarnation || received.Status == Alive {
		return
	}
	m.updateSelf(func(self *Member) { self.Incarnation = received.Incarnation + 1 })
}

// raiseGeneration raises the generation of this process above that of a predecessor at
// its address that others still take to be alive. This happens when the machine's time of
// day was set back before this process started.
func (m *Machine) raiseGeneration(predecessor Member) {
	if predecessor.Status == Dead || predecessor.Generation < m.self.Generation {
		return
	}
	m.updateSelf(func(self *Member) {
		self.Generation = predecessor.Generation + 1
		self.Incarnation++
	})
}

// resolveAddressConflict handles two members with the same control address: the one with
// the lower generation is dead. It reports whether received must be ignored.
func (m *Machine) resolveAddressConflict(now time.Time, received Member) bool {
	if received.Control == m.self.Control {
		m.raiseGeneration(received)
		m.config.OnPredecessor(now, received)
		return true
	}
	for _, known := range m.byControl[received.Control] {
		if known.ID == received.ID {
			continue
		}
		if known.Generation >= received.Generation {
			return known.Status != Dead
		}
		if known.Status != Dead {
			dead := known.Member
			dead.Status = Dead
			m.replace(now, known, dead)
		}
	}
	return false
}

// add adds an unknown member, unless it is dead.
func (m *Machine) add(now time.Time, received Member) {
	if received.Status == Dead {
		return
	}
	known := &record{since: now}
	m.members[received.ID] = known
	m.byControl[received.Control] = append(m.byControl[received.Control], known)
	m.set(now, known, received)
	m.config.OnChange(Member{}, received)
}

// replace replaces the record of a member by a later one.
func (m *Machine) replace(now time.Time, known *record, received Member) {
	before := known.Member
	m.digests.toggle(before)
	m.set(now, known, received)
	m.config.OnChange(before, received)
}

// set stores a record, sets the deadline of a suspect and queues the record for gossip.
func (m *Machine) set(now time.Time, known *record, received Member) {
	if known.Status != received.Status {
		known.since = now
	}
	if received.Status == Suspect {
		known.deadline = now.Add(m.suspicionTime())
	}
	known.Member = received
	m.digests.toggle(received)
	if !m.inBulk {
		m.updates.add(received)
	}
	m.changed = true
}

// forget removes a member from the list.
func (m *Machine) forget(known *record) {
	m.digests.toggle(known.Member)
	delete(m.members, known.ID)
	others := slices.DeleteFunc(m.byControl[known.Control], func(other *record) bool { return other == known })
	m.byControl[known.Control] = others
	if len(others) == 0 {
		delete(m.byControl, known.Control)
	}
	m.changed = true
}

// suspicionTime returns how long a suspect has to refute.
func (m *Machine) suspicionTime() time.Duration {
	scale := max(1, math.Log10(float64(m.size())))
	return time.Duration(m.config.SuspicionIntervals * scale * float64(m.config.ProbeInterval))
}
