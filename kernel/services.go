package kernel

import (
	"context"
	"time"

	"github.com/loomcleat/loomcleat/instance"
	"github.com/loomcleat/loomcleat/wire"
)

// Documents is what the plug-in that spreads documents provides.
type Documents interface {
	// Revisions returns the revisions that this process has.
	Revisions() wire.Revisions
	// Heard tells of the revisions that a peer has. It does not block. asked is when
	// this process asked for them, zero when the peer told them unasked: then nothing
	// is proven, since they may have been on their way for long.
	Heard(peer string, revisions wire.Revisions, asked time.Time)
	// PolicyProof returns the longest time ago at which the policy in force here was
	// the newest one, and false when there is no proof.
	PolicyProof(now time.Time) (age time.Duration, known bool)
	// Offer takes a document that was learned in another way, if it is newer.
	Offer(ctx context.Context, name wire.DocumentName, data []byte) error
	// Subscribe calls adopt on the control loop for each new revision. It must
	// be called during set-up.
	Subscribe(name wire.DocumentName, adopt func(now time.Time, data []byte))
}

// Mesh is what the plug-in that keeps the membership provides. Its methods are
// called on the control loop.
type Mesh interface {
	// SetState announces whether this process leaves and its back end is down.
	SetState(leaving, down bool)
	// SetVotes announces the votes of other replicas that this process has in claim groups.
	SetVotes(votes []string)
	// SetSeeds replaces the addresses at which the mesh is looked for.
	SetSeeds(seeds []string)
	// Announce spreads the revisions of this process at once.
	Announce()
}

// Quarantine is what the plug-in that refuses requests which crash back ends provides.
type Quarantine interface {
	// Digest tells apart what processes know of crashes, 0 for nothing.
	Digest() uint64
	// Heard tells of the digest that a peer has. It does not block.
	Heard(peer string, digest uint64)
}

// BackEnd is what the plug-in that follows the back end's heartbeats provides.
type BackEnd interface {
	// Observe takes a heartbeat. When it returns nil, what the heartbeat says is
	// in force here and is being announced.
	Observe(ctx context.Context, report instance.Report) error
	// Leave takes the goodbye of an incarnation.
	Leave(ctx context.Context, id string) error
	// Found tells which incarnation refused a request that was meant for another.
	Found(expected, actual string)
	// Unreachable tells that no connection to the back end could be opened.
	Unreachable()
	// State returns what is known now.
	State() instance.State
}
