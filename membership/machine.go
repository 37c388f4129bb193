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
	config     Config
	self       Member
	members    map[string]*record   // without self
	byControl  map[string][]*record // members by control address
	digests    digests              // of members and self
	order      []string             // members still to probe in this round
	updates    updateQueue
	inBulk     bool // updates that came in bulk are merged: they are not passed on by gossip
	rounds     int  // gossip rounds still to send without updates
	seeds      []string
	started    time.Time
	nextProbe  time.Time
	nextGossip time.Time
	lastSync   time.Time
	changed    bool
}

// record is a member with what this process keeps of it.
type record struct {
	Member
	since    time.Time // time of the last change of status
	deadline time.Time // of a suspicion
}

// New returns a Machine that knows only itself.
func New(config Config, now time.Time) *Machine {
	config.setDefaults()
	m := &Machine{
		config:     config,
		self:       config.Self,
		members:    map[string]*record{},
		byControl:  map[string][]*record{},
		started:    now,
		nextProbe:  now,
		nextGossip: now,
		changed:    true,
	}
	m.self.Version = max(m.self.Version, 1)
	m.digests.toggle(m.self)
	m.updates.add(m.self)
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

// SetVotes announces the votes that the caller has now: see Member.Votes.
func (m *Machine) SetVotes(votes []string) {
	if slices.Equal(m.self.Votes, votes) {
		return
	}
	m.updateSelf(func(self *Member) {
		self.Votes = votes
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
	m.updates.add(m.self)
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
