package wire

import "github.com/loomcleat/loomcleat/claims"

// Paths of the control listener for claims. They are served with the setting claims:
// true only.
const (
	PathClaim       = "/v1/claims/claim"
	PathWithdraw    = "/v1/claims/withdraw"
	PathFinish      = "/v1/claims/finish"
	PathHandOver    = "/v1/claims/hand-over"
	PathOutcome     = "/v1/claims/outcome"
	PathClaimStatus = "/v1/claims/status"
	PathVote        = "/v1/claims/seat"
)

// ClaimRequest asks a replica for a claim.
type ClaimRequest struct {
	Group int          `json:"group"`
	Epoch uint64       `json:"epoch"`
	Claim claims.Claim `json:"claim"`
}

// ClaimReply is the answer of a replica.
type ClaimReply struct {
	Reply    claims.Reply `json:"reply"`
	Revision uint64       `json:"revision"` // of the replica's claim groups
}

// ClaimUpdate withdraws a claim or stores the answer of its run.
type ClaimUpdate struct {
	Group  int            `json:"group"`
	Key    claims.Key     `json:"key"`
	Run    string         `json:"run"`
	Answer *claims.Answer `json:"answer,omitempty"`
}

// HandOverRequest asks for the claims of a group for a new epoch.
type HandOverRequest struct {
	Group int    `json:"group"`
	Epoch uint64 `json:"epoch"`
	// Document is the Groups document with that epoch, so that the replica can
	// adopt it first.
	Document []byte `json:"document"`
}

// HandOverReply is the answer: OK is false when the replica cannot serve.
type HandOverReply struct {
	OK     bool                 `json:"ok"`
	Claims []claims.Transferred `json:"claims"`
}

// VoteTransfer hands the vote of a replica, with its claims, to another process.
type VoteTransfer struct {
	Vote     claims.Vote          `json:"seat"`
	Claims   []claims.Transferred `json:"claims"`
	Document []byte               `json:"document"` // see HandOverRequest
}

// VoteTransferReply is the answer: OK is false when the process refuses the vote.
type VoteTransferReply struct {
	OK bool `json:"ok"`
}

// OutcomeRequest asks a runner what became of its run of a key. Another process
// that has got the runner's address does not answer for it.
type OutcomeRequest struct {
	Runner string     `json:"runner"`
	Key    claims.Key `json:"key"`
	Run    string     `json:"run"`
}

// RunState is what became of a run.
type RunState int

// States of a run.
const (
	RunUnknown  RunState = iota // the runner does not know the run
	RunNeverRan                 // it was given up and never ran
	RunActive                   // it is running
	RunFinished                 // it has ended
)

// OutcomeReply is the answer of a runner.
type OutcomeReply struct {
	State  RunState       `json:"state"`
	Answer *claims.Answer `json:"answer,omitempty"` // with RunFinished, when kept
}

// ClaimStatus says in which groups a process votes at their highest epoch.
type ClaimStatus struct {
	Revision uint64 `json:"revision"`
	Voting   []int  `json:"voting"`
}
