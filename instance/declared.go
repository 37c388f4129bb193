package instance

import (
	"sync"
	"time"

	"github.com/loomcleat/loomcleat/ratelimit"
)

// Declared is what a back end has declared about itself in its answers.
type Declared struct {
	// Incarnation of the back end, as of State.Incarnation.
	Incarnation string
	// Limit is how many requests a second it takes from all processes together, nil for no
	// limit.
	Limit *ratelimit.Rate
	// Leaving reports that it is about to stop.
	Leaving bool
	// LeavingFor is how long the process that tells it has known that it is leaving, nil if that is
	// not told.
	LeavingFor *time.Duration
}

// Restricted reports whether the back end has a limit or is leaving.
func (d Declared) Restricted() bool { return d.Limit != nil || d.Leaving }

// Memory holds the restrictions that other nodes have reported of their back ends, by the
// address of the node. A node that was restarted has forgotten them and learns them from the
// processes that call it. Memory is safe for concurrent use.
type Memory struct {
	mutex   sync.RWMutex
	entries map[string]memoryEntry
}

// memoryEntry is a restriction and when it was reported.
type memoryEntry struct {
	Declared
	reportedAt time.Time
	// When leaving was first reported, zero if it was not.
	leavingSince time.Time
}

// after returns the entry that follows an earlier one of the same node. An incarnation that is leaving
// stays so.
func (e memoryEntry) after(earlier memoryEntry) memoryEntry {
	switch {
	case earlier.Leaving && earlier.Incarnation == e.Incarnation:
		e.Leaving, e.leavingSince = true, earlier.leavingSince
	case e.Leaving:
		e.leavingSince = e.reportedAt
	}
	return e
}

// maximumEntries bounds the nodes that a Memory holds. It exceeds the number of nodes of the
// largest meshes.
const maximumEntries = 4096

// Record stores what a node reported with the back end's answer to a call sent at sentAt. An
// answer without a restriction ends the one that is known only if its call was sent after that
// one was reported, since answers may arrive out of order.
func (m *Memory) Record(now, sentAt time.Time, address string, declared Declared) {
	if !declared.Restricted() && !m.has(address) {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if declared.Restricted() {
		m.store(address, memoryEntry{Declared: declared, reportedAt: now}.after(m.entries[address]))
		return
	}
	if known, exists := m.entries[address]; exists && sentAt.After(known.reportedAt) {
		delete(m.entries, address)
	}
}

func (m *Memory) has(address string) bool {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	_, exists := m.entries[address]
	return exists
}

func (m *Memory) store(address string, stored memoryEntry) {
	if m.entries == nil || len(m.entries) >= maximumEntries {
		m.entries = map[string]memoryEntry{}
	}
	m.entries[address] = stored
}

// Lookup returns the restriction that the node at an address has reported, with the time that has passed
// since.
func (m *Memory) Lookup(now time.Time, address string) (Declared, bool) {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	known, exists := m.entries[address]
	declared := known.Declared
	declared.LeavingFor = nil
	if declared.Leaving {
		leavingFor := max(now.Sub(known.leavingSince), 0)
		declared.LeavingFor = &leavingFor
	}
	return declared, exists
}
