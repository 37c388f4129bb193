package membership

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// Config configures a Machine.
type Config struct {
	// Self is the record of this process. ID, Control and Generation are required.
	Self Member

	// ProbeInterval is the time between probes. Shorter finds failures sooner
	// and costs more messages. Default 1s.
	ProbeInterval time.Duration

	// ProbeTimeout is how long the caller waits for a reply to a message.
	// Longer tolerates slow members, shorter finds failures sooner. Default
	// half the probe interval.
	ProbeTimeout time.Duration

	// IndirectProbes is the number of members asked to repeat a failed probe.
	// More tolerates more broken paths. Default 3.
	IndirectProbes int

	// SuspicionIntervals sets how long a suspect has to refute, in probe
	// intervals. It is multiplied by the decimal logarithm of the mesh size (at
	// least 1). Longer removes fewer healthy members, shorter finds failures
	// sooner. Default 3.
	SuspicionIntervals float64

	// GossipInterval is the time between gossip messages while there are
	// updates to spread. Default a fifth of the probe interval.
	GossipInterval time.Duration

	// GossipFanout is the number of members to which each round of gossip is sent.
	// Default 3.
	GossipFanout int

	// MaximumUpdates bounds the updates in one message, except in Sync. Updates from
	// a message that carries more are not passed on by gossip: other processes
	// receive them by comparing lists. Default 16.
	MaximumUpdates int

	// SyncInterval is the minimum time between two comparisons of lists with
	// members whose digest differs. Shorter spreads many changes sooner, longer
	// sends fewer bytes while members join and leave. Default the probe interval.
	SyncInterval time.Duration

	// ForgetAfter is how long dead members are remembered and probed. Default 1h.
	ForgetAfter time.Duration

	// JoinTime is the time after its start during which a process sends a Sync, in
	// each GossipInterval, to seeds and other addresses without a known live member.
	// Longer finds more of a mesh that starts slowly, shorter sends fewer
	// messages to addresses without a process. Default 5s.
	JoinTime time.Duration
	// JoinFanout is the number of such addresses tried in each GossipInterval.
	// Default 3.
	JoinFanout int

	// Random is the source of random choices. Required.
	Random *rand.Rand

	// OnChange is called for each change of a member's record, with the zero Member
	// as before for a new member. May be nil.
	OnChange func(before, after Member)

	// OnPredecessor is called with the record of another process at the address of this one, each time
	// that it is received. May be nil.
	OnPredecessor func(now time.Time, predecessor Member)

	// OnSynced is called when a peer has answered a Sync, so that OnPredecessor was called for each
	// process that the peer knows to have run at the address of this one. May be nil.
	OnSynced func(peer Member)
}

// GossipsPerProbe is the default number of gossip intervals in a probe interval.
const GossipsPerProbe = 5

// Defaults of Config that do not depend on other fields.
const (
	defaultProbeInterval      = time.Second
	defaultIndirectProbes     = 3
	defaultSuspicionIntervals = 3
	defaultGossipFanout       = 3
	defaultMaximumUpdates     = 16
	defaultForgetAfter        = time.Hour
	defaultJoinTime           = 5 * time.Second
	defaultJoinFanout         = 3
)

func (c *Config) setDefaults() {
	c.ProbeInterval = cmp.Or(c.ProbeInterval, defaultProbeInterval)
	c.ProbeTimeout = cmp.Or(c.ProbeTimeout, c.ProbeInterval/2)
	c.IndirectProbes = cmp.Or(c.IndirectProbes, defaultIndirectProbes)
	c.SuspicionIntervals = cmp.Or(c.SuspicionIntervals, defaultSuspicionIntervals)
	c.GossipInterval = cmp.Or(c.GossipInterval, c.ProbeInterval/GossipsPerProbe)
	c.GossipFanout = cmp.Or(c.GossipFanout, defaultGossipFanout)
	c.MaximumUpdates = cmp.Or(c.MaximumUpdates, defaultMaximumUpdates)
	c.SyncInterval = cmp.Or(c.SyncInterval, c.ProbeInterval)
	c.ForgetAfter = cmp.Or(c.ForgetAfter, defaultForgetAfter)
	c.JoinTime = cmp.Or(c.JoinTime, defaultJoinTime)
	c.JoinFanout = cmp.Or(c.JoinFanout, defaultJoinFanout)
	if c.OnChange == nil {
		c.OnChange = func(Member, Member) {}
	}
	if c.OnPredecessor == nil {
		c.OnPredecessor = func(time.Time, Member) {}
	}
	if c.OnSynced == nil {
		c.OnSynced = func(Member) {}
	}
}
