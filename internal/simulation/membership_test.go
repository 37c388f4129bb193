package simulation

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/membership"
)

// TestMembershipUnderFaults guards against membership that does not converge after a
// fault of members or of the network.
func TestMembershipUnderFaults(t *testing.T) {
	const members = 24
	cases := []struct {
		name  string
		loss  float64
		fault func(*MembershipCluster)
	}{
		{"no fault", 0, func(*MembershipCluster) {}},
		{"crash", 0, func(m *MembershipCluster) { m.Crash(5) }},
		{"crash with one tenth of the messages lost", 0.1, func(m *MembershipCluster) { m.Crash(5) }},
		{"six simultaneous crashes", 0, func(m *MembershipCluster) {
			for i := 3; i < 9; i++ {
				m.Crash(i)
			}
		}},
		{"crash of the seed", 0, func(m *MembershipCluster) { m.Crash(0) }},
		{"2 s freeze", 0, func(m *MembershipCluster) { m.Freeze(4); m.Run(2 * time.Second); m.Resume(4) }},
		{"1 min freeze", 0, func(m *MembershipCluster) { m.Freeze(4); m.Run(time.Minute); m.Resume(4) }},
		{"partition into halves for 5 min", 0, func(m *MembershipCluster) { m.Partition(members / 2); m.Run(5 * time.Minute); m.Heal() }},
		{"partition of one member for 1 min", 0, func(m *MembershipCluster) { m.Partition(members - 1); m.Run(time.Minute); m.Heal() }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := NewMembershipCluster(MembershipClusterConfig{Members: members, Seed: 7, Loss: c.loss})
			_, joined := m.RunUntil(time.Minute, m.Converged)
			is.True(joined)
			c.fault(m)
			_, converged := m.RunUntil(3*time.Minute, m.Converged)
			is.True(converged)
		})
	}
}

func TestAFrozenMemberDoesNotRemoveOthersWhenItWakes(t *testing.T) {
	is := is.New(t)
	m := NewMembershipCluster(MembershipClusterConfig{Members: 24, Seed: 3})
	m.RunUntil(time.Minute, m.Converged)
	for _, pause := range []time.Duration{3 * time.Second, 10 * time.Second, time.Minute} {
		m.Freeze(4)
		m.Run(pause)
		began := m.Elapsed()
		m.Resume(4)
		m.Run(time.Minute)
		for _, change := range m.Changes {
			falselyRemoved := change.At >= began && change.Status == membership.Dead && change.Member != "m0004"
			is.True(!falselyRemoved) // only the frozen member may be removed
		}
	}
}

// TestLeaveAndCrashPropagation guards against removals without a fault and against slow
// propagation: all members must see a leave within 2 s and a crash within 20 s (medians).
func TestLeaveAndCrashPropagation(t *testing.T) {
	is := is.New(t)
	m := NewMembershipCluster(MembershipClusterConfig{Members: 64, Seed: 5})
	m.RunUntil(5*time.Minute, m.Converged)
	settled := m.Elapsed()
	m.Run(10 * time.Second)
	is.Equal(m.FalseRemovals(settled), 0)
	var leaves, crashes []time.Duration
	for trial := range 3 {
		victim := len(m.members) - 1 - trial
		began := m.Elapsed()
		m.Leave(victim)
		leave, _ := m.RunUntil(2*time.Minute, func() bool {
			return m.allObserved(victim, began, func(c StatusChange) bool { return c.Leaving })
		})
		leaves = append(leaves, leave)
		began = m.Elapsed()
		m.Crash(victim)
		crash, _ := m.RunUntil(2*time.Minute, func() bool {
			return m.allObserved(victim, began, func(c StatusChange) bool { return c.Status == membership.Dead })
		})
		crashes = append(crashes, crash)
	}
	slices.Sort(leaves)
	slices.Sort(crashes)
	t.Logf("all members saw the leaves after %v, the crashes after %v", leaves, crashes)
	is.True(leaves[1] < 2*time.Second)   // median time until all members see a leave
	is.True(crashes[1] < 20*time.Second) // median time until all members see a crash
}

// allObserved reports whether every other running member has seen a matching change of the
// victim since the given virtual time.
func (m *MembershipCluster) allObserved(victim int, since time.Duration, matches func(StatusChange) bool) bool {
	observed := map[string]bool{}
	for _, change := range m.Changes {
		if change.At >= since && change.Member == m.members[victim].id && matches(change) {
			observed[change.Observer] = true
		}
	}
	for i, member := range m.members {
		if !member.crashed && i != victim && !observed[member.id] {
			return false
		}
	}
	return true
}

// TestSlowMembersAreNotRemoved guards against removing members that miss half of their
// probes under message loss: they must refute each suspicion in time.
func TestSlowMembersAreNotRemoved(t *testing.T) {
	is := is.New(t)
	m := NewMembershipCluster(MembershipClusterConfig{Members: 32, Seed: 1, Loss: 0.05, Slow: 0.1})
	m.RunUntil(time.Minute, m.Converged)
	began := m.Elapsed()
	m.Run(2 * time.Minute)
	is.Equal(m.FalseRemovals(began), 0)
}
