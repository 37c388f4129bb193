package wire

import (
	"github.com/loomcleat/loomcleat/membership"
	"github.com/loomcleat/loomcleat/quarantine"
	"github.com/loomcleat/loomcleat/quota"
	"github.com/loomcleat/loomcleat/store"
)

// Paths of the control listener.
const (
	PathGossip     = "/v1/gossip"
	PathDocument   = "/v1/documents/" // followed by a DocumentName
	PathStatus     = "/v1/status"
	PathRevisions  = "/v1/revisions"
	PathQuota      = "/v1/quota"
	PathTenants    = "/v1/tenants"
	PathQuarantine = "/v1/quarantine"
	PathLeave      = "/v1/leave"
)

// DocumentName is the name of a document that is distributed to all processes.
type DocumentName string

// Names of the documents.
const (
	DocumentPolicy DocumentName = "policy"
	DocumentGroups DocumentName = "claim-groups"
)

// Revisions holds the revisions of a process's copies of the distributed documents.
type Revisions struct {
	Policy uint64 `json:"policy,omitempty"`
	Groups uint64 `json:"groups,omitempty"`
	// Confirmed is true if, at some time since the process started, its policy was known
	// to be as new as the store's or as that of a confirmed peer.
	Confirmed bool `json:"confirmed,omitempty"`
	// Age is the time since the sender last knew that its policy was the newest one, in
	// milliseconds, at least 1. 0: it never knew.
	Age int64 `json:"age,omitempty"`
	// ProvenAge is an upper bound on the time since the sender's policy was certainly the
	// newest one, in milliseconds, at least 1. 0: the sender has no proof. It is valid
	// only in an answer, and the receiver must count from the time at which it sent its
	// request.
	ProvenAge int64 `json:"proven,omitempty"`
	// StoreEra is the highest era of the store that the sender knows, 0 for none.
	StoreEra store.Era `json:"era,omitempty"`
}

// Of returns the revision of the document with the given name.
func (r Revisions) Of(name DocumentName) uint64 {
	if name == DocumentGroups {
		return r.Groups
	}
	return r.Policy
}

// Envelope is the message on PathGossip and its answer.
type Envelope struct {
	Membership membership.Message `json:"membership"`
	Revisions  Revisions          `json:"revisions"`
	// Quarantine is a digest of the back-end crashes known to the sender, 0 for none.
	Quarantine uint64 `json:"quarantine,omitempty"`
}

// Crashes is the message on PathQuarantine with the known crashes of back ends. The same
// format is kept in the store for quarantined requests.
type Crashes struct {
	// From is the ID of the sender, "" in the store.
	From    string                   `json:"from,omitempty"`
	Crashes []quarantine.CrashReport `json:"crashes"`
}

// Document is the answer on PathDocument.
type Document struct {
	Revision  uint64 `json:"revision"`
	Data      []byte `json:"data"`
	Confirmed bool   `json:"confirmed"` // see Revisions
}

// QuotaReport is the message on PathQuota: a process reports its admitted requests to the
// coordinator of quotas.
type QuotaReport struct {
	Report    quota.Report `json:"report"`
	Revisions Revisions    `json:"revisions"`
}

// QuotaAnswer is the coordinator's answer to a QuotaReport.
type QuotaAnswer struct {
	Answer    quota.Answer `json:"answer"`
	Revisions Revisions    `json:"revisions"`
}

// Tenants is the answer on PathTenants: the quotas as known to one process.
type Tenants struct {
	ID     string        `json:"id"`
	CutOff bool          `json:"cut_off"` // no coordinator answers, so the process admits equal shares
	Quotas []quota.State `json:"quotas"`
}

// Empty is a message without content.
type Empty struct{}

// Leave is the message on PathLeave: the machine list shows the receiver's machine as
// leaving.
type Leave struct{}

// Status is the answer on PathStatus: the state of one process and its view of the mesh.
type Status struct {
	ID        string              `json:"id"`
	Role      string              `json:"role"`
	Region    string              `json:"region"`
	Zone      string              `json:"zone"`
	Service   string              `json:"service,omitempty"`
	Ready     bool                `json:"ready"`
	Leaving   bool                `json:"leaving"`
	Revisions Revisions           `json:"revisions"`
	Members   []membership.Member `json:"members"`
	InFlight  int64               `json:"in_flight"`
	Limit     int                 `json:"limit"`  // on requests in flight at the back end; 0 for a gateway
	Level     int                 `json:"level"`  // lowest priority that is admitted now, 0 to 1024; 0 for a gateway
	Claims    int                 `json:"claims"` // claims held as a replica
}

// LeftBackEnds are the starts of a back end that have announced that they leave, as a node keeps them in the
// store.
type LeftBackEnds struct {
	// Starts has the latest one at the end.
	Starts []membership.BackEndStart `json:"starts"`
}
