package membership

import (
	"math/rand/v2"
	"time"
)

// Status is what the mesh believes of a member.
type Status int

// Statuses. At the same incarnation the higher one wins.
const (
	Alive Status = iota
	Suspect
	Dead
)

var statusNames = []string{"alive", "suspect", "dead"}

// String returns the name of the status.
func (s Status) String() string {
	if s < Alive || s > Dead {
		return "unknown"
	}
	return statusNames[s]
}

// Member is what is known of one process.
type Member struct {
	ID      string `json:"id"`
	Control string `json:"ctl"`           // address for control messages
	Traffic string `json:"trf,omitempty"` // address for requests; empty for gateways
	Region  string `json:"reg,omitempty"`
	Zone    string `json:"zon,omitempty"`
	Service string `json:"svc,omitempty"` // empty for gateways
	// Generation tells processes apart that follow each other at one control
	// address: the highest one is there now. A process begins with its time of
	// day in Unix milliseconds, which may be wrong, and goes above that of a
	// predecessor that it hears of.
	Generation int64  `json:"st"`
	Version    uint64 `json:"inc"` // incarnation, raised by the member itself
	Status     Status `json:"sta,omitempty"`
	Leaving    bool   `json:"lv,omitempty"` // takes no new requests
	Down       bool   `json:"dn,omitempty"` // its back end refuses connections
	Accuser    string `json:"by,omitempty"` // who suspects it
	// Places lists what else the member announces of itself; the machine does
	// not look at it.
	Places []string `json:"pl,omitempty"`
}

// Kind is the purpose of a message.
type Kind int

// Kinds of messages.
const (
	Ping        Kind = iota // are you there
	PingThrough             // is the target there, ask it for me
	Gossip                  // updates only
	Sync                    // compare lists, and exchange the parts that differ
)

// Message is what processes send to each other and answer with.
type Message struct {
	Kind    Kind     `json:"kind"`
	From    Member   `json:"from"`
	Target  string   `json:"target,omitempty"` // PingThrough: control address to probe
	Updates []Member `json:"updates,omitempty"`
	Digest  uint64   `json:"digest"` // of the sender's whole list
	// Buckets are the digests of the parts of the sender's list, on Sync and its
	// answer: 32 bits each, least significant byte first. A Sync without them is
	// answered with the whole list.
	Buckets []byte `json:"buckets,omitempty"`
	OK      bool   `json:"ok,omitempty"` // answer to PingThrough
}

// Send asks the caller to deliver a message.
type Send struct {
	To      string // control address
	Message Message
	probe   *probe // nil unless part of a probe
}

// Config configures a Machine.
type Config struct {
	// Self is the record of this process. ID, Control and Generation are required.
	Self Member

	// ProbeInterval is the time between probes. Shorter finds failures sooner
	// and costs more messages. Default 1s.
	ProbeInterval time.Duration

	// ProbeTimeout is how long the caller waits for an answer to a message.
	// Longer tolerates slow members, shorter finds failures sooner. Default
	// half the probe interval.
	ProbeTimeout time.Duration

	// IndirectProbes is the number of members asked to repeat a failed probe.
	// More tolerates more broken paths. Default 3.
	IndirectProbes int

	// SuspicionIntervals is the number of probe intervals, times the decimal
	// logarithm of the mesh size (at least 1), for which a suspect may
	// contradict. Longer removes fewer healthy members, shorter finds failures
	// sooner. Default 3.
	SuspicionIntervals float64

	// GossipInterval is the time between gossip messages while there are
	// updates to spread. Default a fifth of the probe interval.
	GossipInterval time.Duration

	// GossipFanout is the number of members that each round of gossip goes to.
	// Default 3.
	GossipFanout int

	// MaximumUpdates bounds the updates on one message, except those of Sync. News
	// that comes with more others is not passed on by gossip, since whoever lacks
	// it finds out by comparing lists. Default 16.
	MaximumUpdates int

	// SyncInterval is the least time between two comparisons of lists with members
	// whose digest differs. Shorter spreads many changes sooner, longer sends
	// fewer bytes while members come and go. Default the probe interval.
	SyncInterval time.Duration

	// ForgetAfter is how long dead members are remembered and probed. Default 1h.
	ForgetAfter time.Duration

	// JoinTime is how long after its start a process compares lists with
	// addresses that it was given and knows nobody at, in each GossipInterval.
	// Longer finds more of a mesh that starts slowly, shorter sends fewer
	// messages to addresses where nobody is. Default 5s.
	JoinTime time.Duration
	// JoinFanout is the number of such addresses that are tried at once. Default 3.
	JoinFanout int

	// Random is the source of random choices. Required.
	Random *rand.Rand

	// OnChange is called for each change of a member's record. May be nil.
	OnChange func(before, after Member)
}

func (c *Config) setDefaults() {
	if c.ProbeInterval == 0 {
		c.ProbeInterval = time.Second
	}
	if c.ProbeTimeout == 0 {
		c.ProbeTimeout = c.ProbeInterval / 2
	}
	if c.IndirectProbes == 0 {
		c.IndirectProbes = 3
	}
	if c.SuspicionIntervals == 0 {
		c.SuspicionIntervals = 3
	}
	if c.GossipInterval == 0 {
		c.GossipInterval = c.ProbeInterval / 5
	}
	if c.GossipFanout == 0 {
		c.GossipFanout = 3
	}
	if c.MaximumUpdates == 0 {
		c.MaximumUpdates = 16
	}
	if c.SyncInterval == 0 {
		c.SyncInterval = c.ProbeInterval
	}
	if c.JoinTime == 0 {
		c.JoinTime = 5 * time.Second
	}
	if c.JoinFanout == 0 {
		c.JoinFanout = 3
	}
	if c.ForgetAfter == 0 {
		c.ForgetAfter = time.Hour
	}
	if c.OnChange == nil {
		c.OnChange = func(Member, Member) {}
	}
}
