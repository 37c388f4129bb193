package simulation

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/membership"
)

// TestMembershipUnderFaults plays faults of single members and of the network in
// virtual time. After each fault, all members that run must agree again.
func TestMembershipUnderFaults(t *testing.T) {
	const members = 24
	cases := []struct {
		name  string
		loss  float64
		fault func(*MembershipMesh)
	}{
		{"nothing", 0, func(*MembershipMesh) {}},
		{"a crash", 0, func(m *MembershipMesh) { m.Crash(5) }},
		{"a crash with a tenth of messages lost", 0.1, func(m *MembershipMesh) { m.Crash(5) }},
		{"six crashes at once", 0, func(m *MembershipMesh) {
			for i := 3; i < 9; i++ {
				m.Crash(i)
			}
		}},
		{"the seed crashes", 0, func(m *MembershipMesh) { m.Crash(0) }},
		{"a short freeze", 0, func(m *MembershipMesh) { m.Freeze(4); m.Run(2 * time.Second); m.Wake(4) }},
		{"a long freeze", 0, func(m *MembershipMesh) { m.Freeze(4); m.Run(time.Minute); m.Wake(4) }},
		{"the mesh is cut in halves for five minutes", 0, func(m *MembershipMesh) { m.Cut(members / 2); m.Run(5 * time.Minute); m.Heal() }},
		{"one member is cut off for a minute", 0, func(m *MembershipMesh) { m.Cut(members - 1); m.Run(time.Minute); m.Heal() }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := NewMembershipMesh(MembershipConfig{Members: members, Seed: 7, Loss: c.loss})
			_, joined := m.RunUntil(time.Minute, m.Agree)
			is.True(joined)
			c.fault(m)
			_, agreed := m.RunUntil(3*time.Minute, m.Agree)
			is.True(agreed)
		})
	}
}

func TestAFrozenMemberDoesNotRemoveOthersWhenItWakes(t *testing.T) {
	is := is.New(t)
	m := NewMembershipMesh(MembershipConfig{Members: 24, Seed: 3})
	m.RunUntil(time.Minute, m.Agree)
	for _, pause := range []time.Duration{3 * time.Second, 10 * time.Second, time.Minute} {
		m.Freeze(4)
		m.Run(pause)
		began := m.Elapsed()
		m.Wake(4)
		m.Run(time.Minute)
		for _, change := range m.Changes {
			blamed := change.At >= began && change.Status == membership.Dead && change.Member != "m0004"
			is.True(!blamed) // nobody but the frozen one was removed
		}
	}
}

// TestLeavingIsKnownSoon times announcements to leave, which all members must know of
// within two seconds, and crashes, which all must know of within twenty. Nobody is
// removed who is there.
func TestLeavingIsKnownSoon(t *testing.T) {
	is := is.New(t)
	m := NewMembershipMesh(MembershipConfig{Members: 64, Seed: 5})
	m.RunUntil(5*time.Minute, m.Agree)
	quiet := m.Elapsed()
	m.Run(10 * time.Second)
	is.Equal(m.FalseRemovals(quiet), 0)
	var leaves, crashes []time.Duration
	for trial := range 3 {
		victim := len(m.members) - 1 - trial
		began := m.Elapsed()
		m.Leave(victim)
		leave, _ := m.RunUntil(2*time.Minute, func() bool {
			return m.allKnow(victim, began, func(c BeliefChange) bool { return c.Leaving })
		})
		leaves = append(leaves, leave)
		began = m.Elapsed()
		m.Crash(victim)
		crash, _ := m.RunUntil(2*time.Minute, func() bool {
			return m.allKnow(victim, began, func(c BeliefChange) bool { return c.Status == membership.Dead })
		})
		crashes = append(crashes, crash)
	}
	slices.Sort(leaves)
	slices.Sort(crashes)
	t.Logf("leaves known after %v, crashes after %v", leaves, crashes)
	is.True(leaves[1] < 2*time.Second) // the median
	is.True(crashes[1] < 20*time.Second)
}

// allKnow reports whether all members that run have seen a change of the victim since a
// time.
func (m *MembershipMesh) allKnow(victim int, since time.Duration, matches func(BeliefChange) bool) bool {
	know := map[string]bool{}
	for _, change := range m.Changes {
		if change.At >= since && change.Member == m.members[victim].id && matches(change) {
			know[change.Observer] = true
		}
	}
	for i, member := range m.members {
		if !member.down && i != victim && !know[member.id] {
			return false
		}
	}
	return true
}

// TestASlowMemberIsNotRemoved: members that miss half of their probes, while messages are
// lost, are suspected again and again, and contradict in time.
func TestASlowMemberIsNotRemoved(t *testing.T) {
	is := is.New(t)
	m := NewMembershipMesh(MembershipConfig{Members: 32, Seed: 1, Loss: 0.05, Slow: 0.1})
	m.RunUntil(time.Minute, m.Agree)
	began := m.Elapsed()
	m.Run(2 * time.Minute)
	is.Equal(m.FalseRemovals(began), 0)
}
