package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/loomcleat/loomcleat/membership"
)

// MembershipMesh plays the membership machines of a whole mesh in virtual time, with
// losses, delays, crashes, freezes and cuts. The same seed gives the same run.
type MembershipMesh struct {
	*Engine
	config  MembershipConfig
	random  *rand.Rand
	members []*simulatedMember
	byAddr  map[string]*simulatedMember
	Changes []BeliefChange // of what members believe
}

// MembershipConfig configures a MembershipMesh.
type MembershipConfig struct {
	Members int
	Seed    uint64
	// Interval is the probe interval.
	Interval time.Duration
	// Loss is the share of messages and of answers that are lost.
	Loss float64
	// Slow is the share of members that take longer than the probe timeout for
	// half of their messages.
	Slow float64
}

// BeliefChange is one change of what one member believes of another.
type BeliefChange struct {
	At       time.Duration
	Observer string
	Member   string
	Status   membership.Status
	Leaving  bool
}

type simulatedMember struct {
	id      string
	machine *membership.Machine
	down    bool
	frozen  bool
	slow    bool
	side    int // members of different sides cannot reach each other
	pending []func()
}

// NewMembershipMesh starts a mesh whose members know the first one as their seed.
func NewMembershipMesh(config MembershipConfig) *MembershipMesh {
	if config.Interval == 0 {
		config.Interval = time.Second
	}
	m := &MembershipMesh{Engine: New(), config: config, byAddr: map[string]*simulatedMember{}}
	m.random = rand.New(rand.NewPCG(config.Seed, 1))
	for i := range config.Members {
		m.add(i)
	}
	return m
}

func address(i int) string { return fmt.Sprintf("10.0.%d.%d:7001", i/250, i%250) }

func (m *MembershipMesh) add(i int) {
	member := &simulatedMember{id: fmt.Sprintf("m%04d", i), slow: m.random.Float64() < m.config.Slow}
	config := membership.Config{
		Self:          membership.Member{ID: member.id, Control: address(i), Generation: int64(i + 1)},
		ProbeInterval: m.config.Interval,
		Random:        rand.New(rand.NewPCG(m.config.Seed, uint64(i)+2)),
		OnChange:      func(_, after membership.Member) { m.changed(member, after) },
	}
	member.machine = membership.New(config, m.Now())
	member.machine.SetSeeds([]string{address(0)})
	m.members = append(m.members, member)
	m.byAddr[address(i)] = member
	m.After(time.Duration(m.random.Int64N(int64(m.config.Interval))), func() { m.tick(member) })
}

func (m *MembershipMesh) changed(observer *simulatedMember, after membership.Member) {
	m.Changes = append(m.Changes, BeliefChange{m.Elapsed(), observer.id, after.ID, after.Status, after.Leaving})
}

// tick lets one member do what is due, again and again.
func (m *MembershipMesh) tick(member *simulatedMember) {
	if member.down {
		return
	}
	if !member.frozen {
		m.deliver(member, member.machine.Tick(m.Now()))
	}
	m.After(m.config.Interval/20, func() { m.tick(member) })
}

// deliver sends messages of a member.
func (m *MembershipMesh) deliver(from *simulatedMember, sends []membership.Send) {
	for _, send := range sends {
		m.exchange(from, send)
	}
}

const (
	leastDelay = 300 * time.Microsecond
	delayRange = 2 * time.Millisecond
)

func (m *MembershipMesh) delay() time.Duration {
	return leastDelay + time.Duration(m.random.Int64N(int64(delayRange)))
}

// exchange plays one message and its answer.
func (m *MembershipMesh) exchange(from *simulatedMember, send membership.Send) {
	answered := false
	m.After(m.config.Interval/2, func() {
		if !answered {
			answered = true
			m.receive(from, func() { m.deliver(from, from.machine.Failed(m.Now(), send)) })
		}
	})
	to := m.byAddr[send.To]
	if !m.reaches(from, to) || m.lost() {
		return
	}
	m.After(m.delay(), func() {
		m.receive(to, func() {
			reply := to.machine.Receive(m.Now(), send.Message)
			if send.Message.Kind == membership.PingThrough {
				target := m.byAddr[send.Message.Target]
				reply.OK = m.reaches(to, target) && !target.frozen && !m.lost() && !m.lost() && !m.late(target)
			}
			if m.lost() || !m.reaches(to, from) {
				return
			}
			m.After(m.delay(), func() {
				if answered {
					return
				}
				answered = true
				m.receive(from, func() { m.deliver(from, from.machine.Replied(m.Now(), send, reply)) })
			})
		})
	})
}

func (m *MembershipMesh) lost() bool { return m.random.Float64() < m.config.Loss }

// late reports whether a slow member misses the probe timeout this time.
func (m *MembershipMesh) late(member *simulatedMember) bool {
	return member.slow && m.random.IntN(2) == 0
}

// reaches reports whether a message can get from one member to another.
func (m *MembershipMesh) reaches(from, to *simulatedMember) bool {
	return to != nil && !to.down && !from.down && from.side == to.side
}

// receive runs a function in a member: at once, late when it is slow, or when
// it wakes up.
func (m *MembershipMesh) receive(member *simulatedMember, run func()) {
	switch {
	case member.down:
	case member.frozen:
		member.pending = append(member.pending, run)
	case m.late(member):
		m.After(m.config.Interval, func() {
			if !member.down && !member.frozen {
				run()
			}
		})
	default:
		run()
	}
}

// Crash ends a member at once.
func (m *MembershipMesh) Crash(i int) { m.members[i].down = true }

// Leave lets a member announce that it leaves.
func (m *MembershipMesh) Leave(i int) { m.members[i].machine.SetState(true, false) }

// Freeze pauses a member.
func (m *MembershipMesh) Freeze(i int) { m.members[i].frozen = true }

// Wake ends a pause: what arrived meanwhile is handled first.
func (m *MembershipMesh) Wake(i int) {
	member := m.members[i]
	member.frozen = false
	pending := member.pending
	member.pending = nil
	m.deliver(member, member.machine.Tick(m.Now()))
	for _, run := range pending {
		run()
	}
}

// Cut separates the members from the given index on from the others.
func (m *MembershipMesh) Cut(from int) {
	for i, member := range m.members {
		member.side = 0
		if i >= from {
			member.side = 1
		}
	}
}

// Heal ends a cut.
func (m *MembershipMesh) Heal() { m.Cut(len(m.members)) }

// Agree reports whether all members that run believe the same of all members.
func (m *MembershipMesh) Agree() bool {
	for _, observer := range m.members {
		if observer.down {
			continue
		}
		believed := map[string]membership.Status{}
		for _, known := range observer.machine.Members() {
			believed[known.ID] = known.Status
		}
		for _, member := range m.members {
			status, exists := believed[member.id]
			alive := exists && status == membership.Alive
			if alive == member.down {
				return false
			}
		}
	}
	return true
}

// RunUntil lets time pass until a condition holds and returns how long that
// took, or false when it did not come within the limit.
func (m *MembershipMesh) RunUntil(limit time.Duration, condition func() bool) (time.Duration, bool) {
	started := m.Now()
	for m.Now().Sub(started) < limit {
		if condition() {
			return m.Now().Sub(started), true
		}
		m.Run(m.config.Interval / 20)
	}
	return limit, condition()
}

// FalseRemovals counts beliefs that a member that runs is dead, since the given
// time.
func (m *MembershipMesh) FalseRemovals(since time.Duration) int {
	count := 0
	for _, change := range m.Changes {
		for _, member := range m.members {
			if member.id == change.Member && !member.down && change.Status == membership.Dead && change.At >= since {
				count++
			}
		}
	}
	return count
}
