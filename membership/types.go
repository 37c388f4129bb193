package membership

import "github.com/loomcleat/loomcleat/ratelimit"

// Status is the state of a member as seen by the mesh.
type Status int

// Statuses of a member. At the same incarnation, the higher one wins.
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

// Member is the record of one process.
type Member struct {
	ID string `json:"id"`
	// Control is the address for control messages.
	Control string `json:"ctl"`
	// Traffic is the address for requests. Empty for gateways.
	Traffic string `json:"trf,omitempty"`
	Region  string `json:"reg,omitempty"`
	Zone    string `json:"zon,omitempty"`
	// Service is empty for gateways.
	Service string `json:"svc,omitempty"`
	// Generation orders the processes that run one after another at a control
	// address: the highest one is the current process. It is the start time in Unix
	// milliseconds. As that clock may be wrong, a process that receives the record
	// of a predecessor raises its generation above it.
	Generation int64 `json:"st"`
	// Incarnation orders the records of one process. Only the member itself raises it.
	Incarnation uint64 `json:"inc"`
	Status      Status `json:"sta,omitempty"`
	// Leaving reports that the member takes no new requests.
	Leaving bool `json:"lv,omitempty"`
	// Down reports that the member's back end refuses connections.
	Down bool `json:"dn,omitempty"`
	// Accuser is the id of the process that suspects the member.
	Accuser string `json:"by,omitempty"`
	// Votes lists the votes of other claim replicas that the member holds. Machine
	// does not interpret it.
	Votes []string `json:"pl,omitempty"`
	// RateLimit is how many requests a second the member's back end takes from all processes
	// together, nil if it has declared no limit.
	RateLimit *ratelimit.Rate `json:"rl,omitempty"`
	// LeftBackEnd is the last start of a back end that has announced to the member that it
	// leaves, nil for none. The next process at the same address learns it from its peers.
	LeftBackEnd *BackEndStart `json:"lb,omitempty"`
}

// BackEndStart is one start of a back end.
type BackEndStart struct {
	ID string `json:"id"`
	// Born is when it started, in Unix milliseconds by its clock, 0 if unknown.
	Born int64 `json:"born,omitempty"`
}

// Kind is the purpose of a message.
type Kind int

// Kinds of messages.
const (
	Ping        Kind = iota // probes the receiver
	PingThrough             // asks the receiver to probe Target
	Gossip                  // carries updates only
	Sync                    // compares lists and exchanges the parts that differ
)

// Message is a request or a reply between two processes.
type Message struct {
	Kind Kind   `json:"kind"`
	From Member `json:"from"`
	// Target is the control address to probe, with PingThrough.
	Target  string   `json:"target,omitempty"`
	Updates []Member `json:"updates,omitempty"`
	// Digest is a hash of the sender's complete list.
	Digest uint64 `json:"digest"`
	// Buckets holds the digests of the buckets of the sender's list, in a Sync and
	// its reply: 32 bits each, least significant byte first. The reply to a Sync
	// without them holds the complete list.
	Buckets []byte `json:"buckets,omitempty"`
	// OK reports that Target replied, in the reply to PingThrough.
	OK bool `json:"ok,omitempty"`
}

// Send is a message that the caller must deliver.
type Send struct {
	// To is the control address of the receiver.
	To      string
	Message Message
	probe   *probe // nil unless part of a probe
}
