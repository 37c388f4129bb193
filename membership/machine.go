package membership

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/loomcleat/loomcleat/ratelimit"
)

// Machine is the membership state machine of one process. It is not safe for
// concurrent use.
type Machine struct {
	config Config
	self   Member
	// Members by id, without self.
	members map[string]*record
	// Members by control address, without self.
	byControl map[string][]*record
	// Digests of all members, self included.
	digests digests
	// Ids of the members still to probe in this round, last one first.
	probeOrder []string
	updates    updateQueue
	// A bulk message is being merged, so its updates are not passed on by gossip.
	inBulk bool
	// Gossip rounds still to send without updates.
	extraRounds int
	// Addresses tried to find the mesh.
	seeds      []string
	started    time.Time
	nextProbe  time.Time
	nextGossip time.Time
	lastSync   time.Time
	// A record has changed since the last TakeChanged.
	changed bool
}

// record is a member and its state in this process.
type record struct {
	Member
	// When the status last changed.
	since time.Time
	// When a suspect is declared dead.
	deadline time.Time
}

// New returns a Machine whose list holds only this process.
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
	m.self.Incarnation = max(m.self.Incarnation, 1)
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

// SetSeeds replaces the control addresses that are tried to find the mesh.
func (m *Machine) SetSeeds(addresses []string) { m.seeds = addresses }

// SetState announces whether this process is leaving and whether its back end
// is down.
func (m *Machine) SetState(leaving, down bool) {
	if m.self.Leaving == leaving && m.self.Down == down {
		return
	}
	m.updateSelf(func(self *Member) {
		self.Leaving, self.Down = leaving, down
		self.Incarnation++
	})
}

// SetRateLimit announces the rate limit of the back end beside this process, nil for none.
func (m *Machine) SetRateLimit(limit *ratelimit.Rate) {
	if limit == nil && m.self.RateLimit == nil {
		return
	}
	m.updateSelf(func(self *Member) {
		self.RateLimit = limit
		self.Incarnation++
	})
}

// SetLeftBackEnd announces the last start of a back end that has announced that it leaves.
func (m *Machine) SetLeftBackEnd(left BackEndStart) {
	if m.self.LeftBackEnd != nil && *m.self.LeftBackEnd == left {
		return
	}
	m.updateSelf(func(self *Member) {
		self.LeftBackEnd = &left
		self.Incarnation++
	})
}

// SetVotes announces the votes that the caller now holds. See Member.Votes.
func (m *Machine) SetVotes(votes []string) {
	if slices.Equal(m.self.Votes, votes) {
		return
	}
	m.updateSelf(func(self *Member) {
		self.Votes = votes
		self.Incarnation++
	})
}

// Announce makes this process send a few rounds of gossip even without updates, to
// spread data that the caller adds to messages.
func (m *Machine) Announce() {
	m.extraRounds = spreadRounds(m.size())
}

// updateSelf changes the record of this process and spreads it.
func (m *Machine) updateSelf(change func(*Member)) {
	before := m.self
	m.digests.toggle(m.self)
	change(&m.self)
	m.digests.toggle(m.self)
	m.updates.add(m.self)
	m.changed = true
	m.config.OnChange(before, m.self)
}

// size returns the number of members that are not dead, self included.
func (m *Machine) size() int {
	count := 1
	for _, known := range m.members {
		if known.Status != Dead {
			count++
		}
	}
	return count
}

// spreadRounds returns the number of messages in which one process passes on an update
// in a mesh of the given size.
func spreadRounds(size int) int {
	return 3 + int(math.Ceil(math.Log2(float64(size+1))))
}
