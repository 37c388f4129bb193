package membership

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
	// Votes lists the votes of other claim replicas that the member has; the machine does
	// not look at it.
	Votes []string `json:"pl,omitempty"`
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
