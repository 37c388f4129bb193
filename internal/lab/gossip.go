package lab

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/loomcleat/loomcleat/internal/simulation"
	"github.com/loomcleat/loomcleat/membership"
)

// GossipSim plays the membership machines of a whole mesh in virtual time, with
// losses, delays, crashes, freezes and cuts. The same seed gives the same run.
type GossipSim struct {
	*simulation.Engine
	config  GossipConfig
	random  *rand.Rand
	members []*simMember
	byAddr  map[string]*simMember
	Changes []GossipChange // of what members believe
	Sent    int            // messages
}

// GossipConfig configures a GossipSim.
type GossipConfig struct {
	Members int
	Seed    uint64
	// Interval is the probe interval.
	Interval time.Duration
	// Loss is the share of messages and of answers that are lost.
	Loss float64
	// Slow is the share of members that take longer than the probe timeout for
	// half of their messages.
	Slow float64
	// Adjust changes the configuration of each machine. May be nil.
	Adjust func(*membership.Config)
}

// GossipChange is one change of what one member believes of another.
type GossipChange struct {
	At       time.Duration
	Observer string
	Member   string
	Status   membership.Status
	Leaving  bool
}

type simMember struct {
	id      string
	machine *membership.Machine
	down    bool
	frozen  bool
	slow    bool
	side    int // members of different sides cannot reach each other
	pending []func()
}

// NewGossipSim starts a mesh whose members know the first one as their seed.
func NewGossipSim(config GossipConfig) *GossipSim {
	if config.Interval == 0 {
		config.Interval = time.Second
	}
	s := &GossipSim{Engine: simulation.New(), config: config, byAddr: map[string]*simMember{}}
	s.random = rand.New(rand.NewPCG(config.Seed, 1))
	for i := range config.Members {
		s.add(i)
	}
	return s
}

func address(i int) string { return fmt.Sprintf("10.0.%d.%d:7001", i/250, i%250) }

func (s *GossipSim) add(i int) {
	member := &simMember{id: fmt.Sprintf("m%04d", i), slow: s.random.Float64() < s.config.Slow}
	config := membership.Config{
		Self:          membership.Member{ID: member.id, Control: address(i), Generation: int64(i + 1)},
		ProbeInterval: s.config.Interval,
		Random:        rand.New(rand.NewPCG(s.config.Seed, uint64(i)+2)),
		OnChange:      func(_, after membership.Member) { s.changed(member, after) },
	}
	if s.config.Adjust != nil {
		s.config.Adjust(&config)
	}
	member.machine = membership.New(config, s.Now())
	member.machine.SetSeeds([]string{address(0)})
	s.members = append(s.members, member)
	s.byAddr[address(i)] = member
	s.After(time.Duration(s.random.Int64N(int64(s.config.Interval))), func() { s.tick(member) })
}

func (s *GossipSim) changed(observer *simMember, after membership.Member) {
	s.Changes = append(s.Changes, GossipChange{s.Elapsed(), observer.id, after.ID, after.Status, after.Leaving})
}

// tick lets one member do what is due, again and again.
func (s *GossipSim) tick(member *simMember) {
	if member.down {
		return
	}
	if !member.frozen {
		s.deliver(member, member.machine.Tick(s.Now()))
	}
	s.After(s.config.Interval/20, func() { s.tick(member) })
}

// deliver sends messages of a member.
func (s *GossipSim) deliver(from *simMember, sends []membership.Send) {
	for _, send := range sends {
		s.Sent++
		s.exchange(from, send)
	}
}

const (
	leastDelay = 300 * time.Microsecond
	delayRange = 2 * time.Millisecond
)

func (s *GossipSim) delay() time.Duration {
	return leastDelay + time.Duration(s.random.Int64N(int64(delayRange)))
}

// exchange plays one message and its answer.
func (s *GossipSim) exchange(from *simMember, send membership.Send) {
	answered := false
	s.After(s.config.Interval/2, func() {
		if !answered {
			answered = true
			s.receive(from, func() { s.deliver(from, from.machine.Failed(s.Now(), send)) })
		}
	})
	to := s.byAddr[send.To]
	if !s.reaches(from, to) || s.lost() {
		return
	}
	s.After(s.delay(), func() {
		s.receive(to, func() {
			reply := to.machine.Receive(s.Now(), send.Message)
			if send.Message.Kind == membership.PingThrough {
				target := s.byAddr[send.Message.Target]
				reply.OK = s.reaches(to, target) && !target.frozen && !s.lost() && !s.lost() && !s.late(target)
			}
			if s.lost() || !s.reaches(to, from) {
				return
			}
			s.After(s.delay(), func() {
				if answered {
					return
				}
				answered = true
				s.receive(from, func() { s.deliver(from, from.machine.Replied(s.Now(), send, reply)) })
			})
		})
	})
}

func (s *GossipSim) lost() bool { return s.random.Float64() < s.config.Loss }

// late reports whether a slow member misses the probe timeout this time.
func (s *GossipSim) late(member *simMember) bool { return member.slow && s.random.IntN(2) == 0 }

// reaches reports whether a message can get from one member to another.
func (s *GossipSim) reaches(from, to *simMember) bool {
	return to != nil && !to.down && !from.down && from.side == to.side
}

// receive runs a function in a member: at once, late when it is slow, or when
// it wakes up.
func (s *GossipSim) receive(member *simMember, run func()) {
	switch {
	case member.down:
	case member.frozen:
		member.pending = append(member.pending, run)
	case s.late(member):
		s.After(s.config.Interval, func() {
			if !member.down && !member.frozen {
				run()
			}
		})
	default:
		run()
	}
}

// Crash ends a member at once.
func (s *GossipSim) Crash(i int) { s.members[i].down = true }

// Leave lets a member announce that it leaves.
func (s *GossipSim) Leave(i int) { s.members[i].machine.SetState(true, false) }

// Freeze pauses a member.
func (s *GossipSim) Freeze(i int) { s.members[i].frozen = true }

// Wake ends a pause: what arrived meanwhile is handled first.
func (s *GossipSim) Wake(i int) {
	member := s.members[i]
	member.frozen = false
	pending := member.pending
	member.pending = nil
	s.deliver(member, member.machine.Tick(s.Now()))
	for _, run := range pending {
		run()
	}
}

// Cut separates the members from the given index on from the others.
func (s *GossipSim) Cut(from int) {
	for i, member := range s.members {
		member.side = 0
		if i >= from {
			member.side = 1
		}
	}
}

// Heal ends a cut.
func (s *GossipSim) Heal() { s.Cut(len(s.members)) }

// Agree reports whether all members that run believe the same of all members.
func (s *GossipSim) Agree() bool {
	for _, observer := range s.members {
		if observer.down {
			continue
		}
		believed := map[string]membership.Status{}
		for _, known := range observer.machine.Members() {
			believed[known.ID] = known.Status
		}
		for _, member := range s.members {
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
func (s *GossipSim) RunUntil(limit time.Duration, condition func() bool) (time.Duration, bool) {
	started := s.Now()
	for s.Now().Sub(started) < limit {
		if condition() {
			return s.Now().Sub(started), true
		}
		s.Run(s.config.Interval / 20)
	}
	return limit, condition()
}

// FalseRemovals counts beliefs that a member that runs is dead, since the given
// time.
func (s *GossipSim) FalseRemovals(since time.Duration) int {
	count := 0
	for _, change := range s.Changes {
		for _, member := range s.members {
			if member.id == change.Member && !member.down && change.Status == membership.Dead && change.At >= since {
				count++
			}
		}
	}
	return count
}

// GossipFigures are measurements of one mesh size.
type GossipFigures struct {
	Members       int     `json:"members"`
	DetectSeconds float64 `json:"detect_seconds_median"` // from a crash to the first that declares it dead
	SpreadSeconds float64 `json:"spread_seconds_median"` // from a crash until all know
	LeaveSeconds  float64 `json:"leave_seconds_median"`  // from an announcement until all know
	False         int     `json:"false_removals"`        // in the quiet time
	Messages      float64 `json:"messages_per_member_second"`
}

// MeasureGossip measures crashes, leaves and a quiet time under the losses of
// the configuration.
func MeasureGossip(config GossipConfig, trials int, quiet time.Duration) GossipFigures {
	figures := GossipFigures{Members: config.Members}
	s := NewGossipSim(config)
	s.RunUntil(5*time.Minute, s.Agree)
	begin, sent := s.Elapsed(), s.Sent
	s.Run(quiet)
	figures.False = s.FalseRemovals(begin)
	figures.Messages = float64(s.Sent-sent) / quiet.Seconds() / float64(config.Members)
	var detect, spread, leave []float64
	for trial := range trials {
		victim := len(s.members) - 1 - trial
		began := s.Elapsed()
		s.Leave(victim)
		taken, _ := s.RunUntil(2*time.Minute, func() bool { return s.allKnow(victim, func(c GossipChange) bool { return c.Leaving }, began) })
		leave = append(leave, taken.Seconds())
		began = s.Elapsed()
		s.Crash(victim)
		first, _ := s.RunUntil(2*time.Minute, func() bool { return s.someKnowDead(victim, began) })
		rest, _ := s.RunUntil(2*time.Minute, func() bool {
			return s.allKnow(victim, func(c GossipChange) bool { return c.Status == membership.Dead }, began)
		})
		detect = append(detect, first.Seconds())
		spread = append(spread, (first + rest).Seconds())
	}
	figures.DetectSeconds, figures.SpreadSeconds, figures.LeaveSeconds = median(detect), median(spread), median(leave)
	return figures
}

func (s *GossipSim) someKnowDead(victim int, since time.Duration) bool {
	for i := len(s.Changes) - 1; i >= 0 && s.Changes[i].At >= since; i-- {
		if s.Changes[i].Member == s.members[victim].id && s.Changes[i].Status == membership.Dead {
			return true
		}
	}
	return false
}

// allKnow reports whether all running members have seen a change of the victim.
func (s *GossipSim) allKnow(victim int, matches func(GossipChange) bool, since time.Duration) bool {
	know := map[string]bool{}
	for i := len(s.Changes) - 1; i >= 0 && s.Changes[i].At >= since; i-- {
		change := s.Changes[i]
		if change.Member == s.members[victim].id && matches(change) {
			know[change.Observer] = true
		}
	}
	for i, member := range s.members {
		if !member.down && i != victim && !know[member.id] {
			return false
		}
	}
	return true
}

func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := append([]float64{}, values...)
	sort.Float64s(sorted)
	return sorted[len(sorted)/2]
}

// FreezeFigures are what follows from a member that is paused and woken, and
// from a cut that heals.
type FreezeFigures struct {
	Blamed        int     `json:"blamed"`         // suspicions and removals of others that the woken member began
	RejoinSeconds float64 `json:"rejoin_seconds"` // from the healing of a cut until all agree
}

// MeasureFreeze pauses members one after the other, then cuts the mesh in halves
// and heals it.
func MeasureFreeze(config GossipConfig, trials int, pause, cut time.Duration) FreezeFigures {
	var figures FreezeFigures
	s := NewGossipSim(config)
	s.RunUntil(5*time.Minute, s.Agree)
	for trial := range trials {
		frozen := s.members[1+trial]
		s.Freeze(1 + trial)
		s.Run(pause)
		woken := s.Elapsed()
		s.Wake(1 + trial)
		s.Run(10 * config.Interval)
		for _, change := range s.Changes {
			if change.At >= woken && change.Observer == frozen.id && change.Member != frozen.id && change.Status != membership.Alive {
				figures.Blamed++
			}
		}
		s.RunUntil(5*time.Minute, s.Agree)
	}
	s.Cut(len(s.members) / 2)
	s.Run(cut)
	s.Heal()
	taken, _ := s.RunUntil(10*time.Minute, s.Agree)
	figures.RejoinSeconds = taken.Seconds()
	return figures
}
