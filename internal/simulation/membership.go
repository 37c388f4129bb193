package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/loomcleat/loomcleat/membership"
)

// MembershipCluster is a simulated cluster: it runs the membership machine of each member in
// virtual time under message loss, delays, crashes, freezes and partitions. Runs with the
// same seed are identical.
type MembershipCluster struct {
	*Engine
	config    MembershipClusterConfig
	random    *rand.Rand
	members   []*simulatedMember
	byAddress map[string]*simulatedMember
	// Changes lists the membership changes that members have seen, oldest first.
	Changes []StatusChange
}

// MembershipClusterConfig configures a MembershipCluster.
type MembershipClusterConfig struct {
	Members int
	Seed    uint64
	// Interval is the probe interval. Default 1 s.
	Interval time.Duration
	// Loss is the probability, 0 to 1, that a message or a reply is lost.
	Loss float64
	// Slow is the probability, 0 to 1, that a member is slow. A slow member handles
	// half of its messages later than the probe timeout.
	Slow float64
}

// StatusChange is one change in how Observer sees Member. At is the virtual time since the
// start.
type StatusChange struct {
	At       time.Duration
	Observer string
	Member   string
	Status   membership.Status
	Leaving  bool
}

type simulatedMember struct {
	id      string
	machine *membership.Machine
	crashed bool
	frozen  bool
	slow    bool
	// Members of different partitions cannot reach each other.
	partition int
	pending   []func()
}

// NewMembershipCluster returns a cluster whose members use the first member as their seed.
// Members start when the virtual clock advances.
func NewMembershipCluster(config MembershipClusterConfig) *MembershipCluster {
	if config.Interval == 0 {
		config.Interval = time.Second
	}
	m := &MembershipCluster{Engine: New(), config: config, byAddress: map[string]*simulatedMember{}}
	m.random = rand.New(rand.NewPCG(config.Seed, 1))
	for i := range config.Members {
		m.add(i)
	}
	return m
}

func address(i int) string { return fmt.Sprintf("10.0.%d.%d:7001", i/250, i%250) }

func (m *MembershipCluster) add(i int) {
	member := &simulatedMember{id: fmt.Sprintf("m%04d", i), slow: m.random.Float64() < m.config.Slow}
	config := membership.Config{
		Self:          membership.Member{ID: member.id, Control: address(i), Generation: int64(i + 1)},
		ProbeInterval: m.config.Interval,
		Random:        rand.New(rand.NewPCG(m.config.Seed, uint64(i)+2)),
		OnChange:      func(_, after membership.Member) { m.recordChange(member, after) },
	}
	member.machine = membership.New(config, m.Now())
	member.machine.SetSeeds([]string{address(0)})
	m.members = append(m.members, member)
	m.byAddress[address(i)] = member
	m.After(time.Duration(m.random.Int64N(int64(m.config.Interval))), func() { m.tick(member) })
}

func (m *MembershipCluster) recordChange(observer *simulatedMember, after membership.Member) {
	m.Changes = append(m.Changes, StatusChange{m.Elapsed(), observer.id, after.ID, after.Status, after.Leaving})
}

// tick runs the due work of a member and schedules its next tick.
func (m *MembershipCluster) tick(member *simulatedMember) {
	if member.crashed {
		return
	}
	if !member.frozen {
		m.deliver(member, member.machine.Tick(m.Now()))
	}
	m.After(m.config.Interval/20, func() { m.tick(member) })
}

func (m *MembershipCluster) deliver(from *simulatedMember, sends []membership.Send) {
	for _, send := range sends {
		m.exchange(from, send)
	}
}

const (
	minimumDelay = 300 * time.Microsecond
	delayRange   = 2 * time.Millisecond
)

func (m *MembershipCluster) delay() time.Duration {
	return minimumDelay + time.Duration(m.random.Int64N(int64(delayRange)))
}

// exchange simulates one message and its reply. The sender times out after half of the
// probe interval.
func (m *MembershipCluster) exchange(from *simulatedMember, send membership.Send) {
	answered := false
	m.After(m.config.Interval/2, func() {
		if !answered {
			answered = true
			m.receive(from, func() { m.deliver(from, from.machine.Failed(m.Now(), send)) })
		}
	})
	to := m.byAddress[send.To]
	if !m.reachable(from, to) || m.lost() {
		return
	}
	m.After(m.delay(), func() {
		m.receive(to, func() {
			reply := to.machine.Receive(m.Now(), send.Message)
			if send.Message.Kind == membership.PingThrough {
				// The probe of the target and its reply can each be lost.
				target := m.byAddress[send.Message.Target]
				reply.OK = m.reachable(to, target) && !target.frozen && !m.lost() && !m.lost() && !m.late(target)
			}
			if m.lost() || !m.reachable(to, from) {
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

func (m *MembershipCluster) lost() bool { return m.random.Float64() < m.config.Loss }

// late draws whether a slow member misses the probe timeout for one message.
func (m *MembershipCluster) late(member *simulatedMember) bool {
	return member.slow && m.random.IntN(2) == 0
}

// reachable reports whether messages from one member can reach the other.
func (m *MembershipCluster) reachable(from, to *simulatedMember) bool {
	return to != nil && !to.crashed && !from.crashed && from.partition == to.partition
}

// receive runs the handler of a message at a member: immediately, on Resume if the member is
// frozen, or one probe interval later if it is late. A member that has crashed, or that is
// frozen by the time a late message is due, drops the message.
func (m *MembershipCluster) receive(member *simulatedMember, run func()) {
	switch {
	case member.crashed:
	case member.frozen:
		member.pending = append(member.pending, run)
	case m.late(member):
		m.After(m.config.Interval, func() {
			if !member.crashed && !member.frozen {
				run()
			}
		})
	default:
		run()
	}
}

// Crash stops a member without notice.
func (m *MembershipCluster) Crash(i int) { m.members[i].crashed = true }

// Leave makes a member announce that it leaves.
func (m *MembershipCluster) Leave(i int) { m.members[i].machine.SetState(true, false) }

// Freeze pauses a member. Its incoming messages are kept until Resume.
func (m *MembershipCluster) Freeze(i int) { m.members[i].frozen = true }

// Resume ends the freeze of a member: its timers run first, then the messages that arrived
// during the freeze.
func (m *MembershipCluster) Resume(i int) {
	member := m.members[i]
	member.frozen = false
	pending := member.pending
	member.pending = nil
	m.deliver(member, member.machine.Tick(m.Now()))
	for _, run := range pending {
		run()
	}
}

// Partition splits the network: members with an index of at least from are separated from
// the others.
func (m *MembershipCluster) Partition(from int) {
	for i, member := range m.members {
		member.partition = 0
		if i >= from {
			member.partition = 1
		}
	}
}

// Heal removes the partition.
func (m *MembershipCluster) Heal() { m.Partition(len(m.members)) }

// Converged reports whether every running member sees exactly the running members as alive.
func (m *MembershipCluster) Converged() bool {
	for _, observer := range m.members {
		if observer.crashed {
			continue
		}
		statuses := map[string]membership.Status{}
		for _, known := range observer.machine.Members() {
			statuses[known.ID] = known.Status
		}
		for _, member := range m.members {
			status, exists := statuses[member.id]
			alive := exists && status == membership.Alive
			if alive == member.crashed {
				return false
			}
		}
	}
	return true
}

// RunUntil advances the virtual clock until the condition holds. It returns the elapsed
// virtual time, and false if the condition does not hold within the limit.
func (m *MembershipCluster) RunUntil(limit time.Duration, condition func() bool) (time.Duration, bool) {
	started := m.Now()
	for m.Now().Sub(started) < limit {
		if condition() {
			return m.Now().Sub(started), true
		}
		m.Run(m.config.Interval / 20)
	}
	return limit, condition()
}

// FalseRemovals counts the changes to dead, since the given virtual time, of members that
// have not crashed, over all observers.
func (m *MembershipCluster) FalseRemovals(since time.Duration) int {
	count := 0
	for _, change := range m.Changes {
		for _, member := range m.members {
			if member.id == change.Member && !member.crashed && change.Status == membership.Dead && change.At >= since {
				count++
			}
		}
	}
	return count
}
