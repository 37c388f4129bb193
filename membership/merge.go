package membership

import (
	"math"
	"slices"
	"time"
)

// apply merges a record that was received and reports whether it was news.
func (m *Machine) apply(now time.Time, received Member) bool {
	if received.ID == m.self.ID {
		return m.applySelf(received)
	}
	if m.replaced(now, received) {
		return false
	}
	known, exists := m.members[received.ID]
	if !exists {
		return m.add(now, received)
	}
	if !supersedes(received, known.Member) {
		return false
	}
	m.replace(now, known, received)
	return true
}

// supersedes reports whether a is later news of a member than b.
func supersedes(a, b Member) bool {
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	return a.Status > b.Status
}

// applySelf contradicts news that this process is suspected or dead.
func (m *Machine) applySelf(received Member) bool {
	if received.Version < m.self.Version || received.Status == Alive {
		return false
	}
	m.updateSelf(func(self *Member) { self.Version = received.Version + 1 })
	return true
}

// outlive goes above the generation of a predecessor that others still take for
// the process at this address, as they do when the time of day was set back
// before this process started.
func (m *Machine) outlive(predecessor Member) {
	if predecessor.Status == Dead || predecessor.Generation < m.self.Generation {
		return
	}
	m.updateSelf(func(self *Member) {
		self.Generation = predecessor.Generation + 1
		self.Version++
	})
}

// replaced handles two records with one control address: the process with the
// lower generation is dead. It reports whether received is that process.
func (m *Machine) replaced(now time.Time, received Member) bool {
	if received.Control == m.self.Control {
		m.outlive(received)
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
			gone := known.Member
			gone.Status = Dead
			m.replace(now, known, gone)
		}
	}
	return false
}

// add takes a member that was not known. A dead one is not worth remembering.
func (m *Machine) add(now time.Time, received Member) bool {
	if received.Status == Dead {
		return false
	}
	known := &record{since: now}
	m.members[received.ID] = known
	m.byControl[received.Control] = append(m.byControl[received.Control], known)
	m.set(now, known, received)
	m.config.OnChange(Member{}, received)
	return true
}

// replace takes a later record of a member.
func (m *Machine) replace(now time.Time, known *record, received Member) {
	before := known.Member
	m.digests.toggle(before)
	m.set(now, known, received)
	m.config.OnChange(before, received)
}

// set stores a record, starts a suspicion where it begins and passes it on.
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

// forget removes a member that has been dead for long.
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

// suspicionTime is how long a suspect may contradict.
func (m *Machine) suspicionTime() time.Duration {
	scale := max(1, math.Log10(float64(m.size())))
	return time.Duration(m.config.SuspicionIntervals * scale * float64(m.config.ProbeInterval))
}
