package lab

import (
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
		fault func(*GossipSim)
	}{
		{"nothing", 0, func(*GossipSim) {}},
		{"a crash", 0, func(s *GossipSim) { s.Crash(5) }},
		{"a crash with a tenth of messages lost", 0.1, func(s *GossipSim) { s.Crash(5) }},
		{"six crashes at once", 0, func(s *GossipSim) {
			for i := 3; i < 9; i++ {
				s.Crash(i)
			}
		}},
		{"the seed crashes", 0, func(s *GossipSim) { s.Crash(0) }},
		{"a short freeze", 0, func(s *GossipSim) { s.Freeze(4); s.Run(2 * time.Second); s.Wake(4) }},
		{"a long freeze", 0, func(s *GossipSim) { s.Freeze(4); s.Run(time.Minute); s.Wake(4) }},
		{"the mesh is cut in halves for five minutes", 0, func(s *GossipSim) { s.Cut(members / 2); s.Run(5 * time.Minute); s.Heal() }},
		{"one member is cut off for a minute", 0, func(s *GossipSim) { s.Cut(members - 1); s.Run(time.Minute); s.Heal() }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := NewGossipSim(GossipConfig{Members: members, Seed: 7, Loss: c.loss})
			_, joined := s.RunUntil(time.Minute, s.Agree)
			is.True(joined)
			c.fault(s)
			_, agreed := s.RunUntil(3*time.Minute, s.Agree)
			is.True(agreed)
		})
	}
}

func TestAFrozenMemberDoesNotRemoveOthersWhenItWakes(t *testing.T) {
	is := is.New(t)
	s := NewGossipSim(GossipConfig{Members: 24, Seed: 3})
	s.RunUntil(time.Minute, s.Agree)
	for _, pause := range []time.Duration{3 * time.Second, 10 * time.Second, time.Minute} {
		s.Freeze(4)
		s.Run(pause)
		began := s.Elapsed()
		s.Wake(4)
		s.Run(time.Minute)
		for _, change := range s.Changes {
			blamed := change.At >= began && change.Status == membership.Dead && change.Member != "m0004"
			is.True(!blamed) // nobody but the frozen one was removed
		}
	}
}

func TestLeavingIsKnownSoon(t *testing.T) {
	is := is.New(t)
	figures := MeasureGossip(GossipConfig{Members: 64, Seed: 5}, 3, 10*time.Second)
	is.True(figures.LeaveSeconds < 2)
	is.True(figures.SpreadSeconds < 20)
	is.Equal(figures.False, 0)
}
