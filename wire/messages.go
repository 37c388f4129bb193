package wire

import (
	"github.com/loomcleat/loomcleat/membership"
	"github.com/loomcleat/loomcleat/quarantine"
	"github.com/loomcleat/loomcleat/quota"
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

// DocumentName names a document that is spread over the mesh.
type DocumentName string

// Documents.
const (
	DocumentPolicy DocumentName = "policy"
	DocumentGroups DocumentName = "claim-groups"
)

// Revisions are the revisions of the spread documents that a process has.
type Revisions struct {
	Policy uint64 `json:"policy,omitempty"`
	Groups uint64 `json:"groups,omitempty"`
	// Confirmed says that the policy is known to be as new as that of the store
	// or of another process since the start.
	Confirmed bool `json:"confirmed,omitempty"`
	// Age is how long ago the sender knew that its policy was the newest one, in
	// milliseconds, at least 1. 0: it never did.
	Age int64 `json:"age,omitempty"`
	// ProvenAge is the longest time ago at which the sender's policy was the newest
	// one, in milliseconds, at least 1. 0: it has no proof. Only a process that had
	// asked for it may go by it, from the time at which it asked.
	ProvenAge int64 `json:"proven,omitempty"`
}

// Of returns the revision of one document.
func (r Revisions) Of(name DocumentName) uint64 {
	if name == DocumentGroups {
		return r.Groups
	}
	return r.Policy
}

// Envelope is the message between two processes on PathGossip, and its answer.
type Envelope struct {
	Membership membership.Message `json:"membership"`
	Revisions  Revisions          `json:"revisions"`
	// Quarantine is a digest of the crashes that the sender knows of, 0 for none.
	Quarantine uint64 `json:"quarantine,omitempty"`
}

// Crashes tells what is known of crashes of back ends on PathQuarantine, and lies in the
// store for requests that are in quarantine.
type Crashes struct {
	// From is the id of the process that tells them, "" in the store.
	From    string             `json:"from,omitempty"`
	Crashes []quarantine.Crash `json:"crashes"`
}

// Document is the answer on PathDocument.
type Document struct {
	Revision  uint64 `json:"revision"`
	Data      []byte `json:"data"`
	Confirmed bool   `json:"confirmed"` // see Revisions
}

// QuotaReport tells the coordinator of quotas what a process admitted.
type QuotaReport struct {
	Report    quota.Report `json:"report"`
	Revisions Revisions    `json:"revisions"`
}

// QuotaAnswer is the answer.
type QuotaAnswer struct {
	Answer    quota.Answer `json:"answer"`
	Revisions Revisions    `json:"revisions"`
}

// Tenants is the answer on PathTenants: what one process knows of the quotas.
type Tenants struct {
	ID     string        `json:"id"`
	CutOff bool          `json:"cut_off"` // it keeps to equal shares, since nobody answers
	Quotas []quota.State `json:"quotas"`
}

// Empty is a message without content.
type Empty struct{}

// Leave tells a process that the machine list shows its machine as leaving.
type Leave struct{}

// Status is the answer on PathStatus: what one process knows of itself and of
// the mesh.
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
	Limit     int                 `json:"limit"`
	Level     int                 `json:"level"`
	Claims    int                 `json:"claims"`
}
