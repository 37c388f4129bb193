package membership

import (
	"math"
	"slices"
	"sort"
	"time"
)

// Machine is the membership state machine of one process. It is not safe for
// concurrent use.
type Machine struct {
	config    Config
	self      Member
	members   map[string]*record   // without self
	byControl map[string][]*record // members by control address
	digests   digests              // of members and self
	order     []string             // members still to probe in this round
	rumours   rumourQueue
	quiet     bool // news is not passed on by gossip
	rounds    int  // gossip rounds still to send without updates
	seeds     []string
	started   time.Time
	nextProbe time.Time
	nextTalk  time.Time
	lastSync  time.Time
	changed   bool
}

// record is a member with what this process keeps of it.
type record struct {
	Member
	since    time.Time // time of the last change of status
	deadline time.Time // of a suspicion
}

// probe is one attempt to reach a member.
type probe struct {
	target  string
	pending int  // indirect answers still missing
	done    bool // answered, or given up
	direct  bool // the direct probe has failed
}

// New returns a Machine that knows only itself.
func New(config Config, now time.Time) *Machine {
	config.setDefaults()
	m := &Machine{
		config:    config,
		self:      config.Self,
		members:   map[string]*record{},
		byControl: map[string][]*record{},
		started:   now,
		nextProbe: now,
		nextTalk:  now,
		changed:   true,
	}
	m.self.Version = max(m.self.Version, 1)
	m.digests.toggle(m.self)
	m.rumours.add(m.self)
	return m
}

// Self returns the record of this process.
func (m *Machine) Self() Member { return m.self }

// Members returns all known members, self included, in order of id.
func (m *Machine) Members() []Member {
	list := make([]Member, 0, len(m.members)+1)
	list = append(list, m.self)
	for _, known := range m.members {
		list = append(list, known.Member)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// TakeChanged reports whether any record has changed since the last call.
func (m *Machine) TakeChanged() bool {
	changed := m.changed
	m.changed = false
	return changed
}

// SetSeeds replaces the addresses that are tried to find the mesh.
func (m *Machine) SetSeeds(addresses []string) { m.seeds = addresses }

// SetState announces whether this process is leaving and whether its back end
// is down.
func (m *Machine) SetState(leaving, down bool) {
	if m.self.Leaving == leaving && m.self.Down == down {
		return
	}
	m.updateSelf(func(self *Member) {
		self.Leaving, self.Down = leaving, down
		self.Version++
	})
}

// SetPlaces announces a changed list of places.
func (m *Machine) SetPlaces(places []string) {
	if slices.Equal(m.self.Places, places) {
		return
	}
	m.updateSelf(func(self *Member) {
		self.Places = places
		self.Version++
	})
}

// Announce makes this process send a few rounds of gossip although it has no
// updates, so that what the caller adds to messages spreads at once.
func (m *Machine) Announce() {
	m.rounds = spreadRounds(m.size())
}

// updateSelf changes the own record and spreads it.
func (m *Machine) updateSelf(change func(*Member)) {
	before := m.self
	m.digests.toggle(m.self)
	change(&m.self)
	m.digests.toggle(m.self)
	m.rumours.add(m.self)
	m.changed = true
	m.config.OnChange(before, m.self)
}

// size is the number of members that are not dead, self included.
func (m *Machine) size() int {
	count := 1
	for _, known := range m.members {
		if known.Status != Dead {
			count++
		}
	}
	return count
}

// spreadRounds is the number of times that an update is passed on by one
// process in a mesh of the given size.
func spreadRounds(size int) int {
	return 3 + int(math.Ceil(math.Log2(float64(size+1))))
}

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

func (m *Machine) add(now time.Time, received Member) bool {
	if received.Status == Dead {
		return false // not worth remembering
	}
	known := &record{since: now}
	m.members[received.ID] = known
	m.byControl[received.Control] = append(m.byControl[received.Control], known)
	m.set(now, known, received)
	m.config.OnChange(Member{}, received)
	return true
}

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
	if !m.quiet {
		m.rumours.add(received)
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
