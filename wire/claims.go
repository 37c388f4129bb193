package wire

import "github.com/loomcleat/loomcleat/claims"

// Paths of the control listener for claims. They are served only with the setting
// claims: true.
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

// ClaimReply is a replica's answer to a ClaimRequest.
type ClaimReply struct {
	Reply    claims.Reply `json:"reply"`
	Revision uint64       `json:"revision"` // revision of the replica's claim groups
}

// ClaimUpdate withdraws a claim on PathWithdraw, or stores the answer of its run on
// PathFinish.
type ClaimUpdate struct {
	Group  int            `json:"group"`
	Key    claims.Key     `json:"key"`
	Run    string         `json:"run"`
	Answer *claims.Answer `json:"answer,omitempty"`
}

// HandOverRequest requests the claims of a group for a new epoch.
type HandOverRequest struct {
	Group int    `json:"group"`
	Epoch uint64 `json:"epoch"`
	// Document is the claim groups document with that epoch, which the replica adopts
	// before it answers.
	Document []byte `json:"document"`
}

// HandOverReply is the answer to a HandOverRequest. OK is false if the replica cannot serve
// the request.
type HandOverReply struct {
	OK     bool                      `json:"ok"`
	Claims []claims.TransferredClaim `json:"claims"`
}

// VoteTransfer transfers the vote of a replica, with its claims, to another process.
type VoteTransfer struct {
	// Vote has the key "seat" on the wire.
	Vote     claims.Vote               `json:"seat"`
	Claims   []claims.TransferredClaim `json:"claims"`
	Document []byte                    `json:"document"` // see HandOverRequest
}

// VoteTransferReply is the answer to a VoteTransfer. OK is false if the process refuses the
// vote.
type VoteTransferReply struct {
	OK bool `json:"ok"`
}

// OutcomeRequest asks a runner for the outcome of its run of a key. It contains the
// runner's ID, so that a new process at the same address does not answer for the runner.
type OutcomeRequest struct {
	Runner string     `json:"runner"`
	Key    claims.Key `json:"key"`
	Run    string     `json:"run"`
}

// RunState is the state of a run.
type RunState int

// Run states.
const (
	RunUnknown   RunState = iota // the answering process does not know the run
	RunAbandoned                 // the run was abandoned before it started
	RunActive                    // the run is in progress
	RunFinished                  // the run has ended
)

// OutcomeReply is the runner's answer to an OutcomeRequest.
type OutcomeReply struct {
	State  RunState       `json:"state"`
	Answer *claims.Answer `json:"answer,omitempty"` // set with RunFinished if the runner still has it
}

// ClaimStatus lists the groups in which a process votes at their highest epoch.
type ClaimStatus struct {
	Revision uint64 `json:"revision"`
	Voting   []int  `json:"voting"`
}
