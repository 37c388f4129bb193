package kernel

import (
	"context"
	"time"

	"github.com/loomcleat/loomcleat/instance"
	"github.com/loomcleat/loomcleat/membership"
	"github.com/loomcleat/loomcleat/ratelimit"
	"github.com/loomcleat/loomcleat/wire"
)

// Documents is implemented by the plug-in that distributes documents.
type Documents interface {
	// Revisions returns the revisions of the documents of this process.
	Revisions() wire.Revisions
	// ObservePeerRevisions reports the revisions of a peer. It does not block.
	// requestedAt is when this process requested them. It is zero for unsolicited
	// revisions, which prove nothing about the present because they may have been delayed.
	ObservePeerRevisions(peer string, revisions wire.Revisions, requestedAt time.Time)
	// PolicyProof returns the age of the last proof that the policy of this process was
	// the newest one. known is false when there is no proof.
	PolicyProof(now time.Time) (age time.Duration, known bool)
	// MayBeOutdated reports whether this process can't know that the given revision of the policy is
	// the newest one: a higher one is in force or, with a store, known to exist, or neither the store
	// nor a peer has confirmed the policy lately.
	MayBeOutdated(revision uint64) bool
	// Offer adopts a document from another source if it is newer.
	Offer(ctx context.Context, name wire.DocumentName, data []byte) error
	// Subscribe registers adopt, which is called on the control loop for each new
	// revision. It must be called during set-up.
	Subscribe(name wire.DocumentName, adopt func(now time.Time, data []byte))
}

// Mesh is implemented by the membership plug-in. Its methods are called on the control
// loop.
type Mesh interface {
	// SetState announces whether this process leaves and whether its back end is down.
	SetState(leaving, down bool)
	// SetRateLimit announces the rate limit that the back end of this process declares, in
	// requests per second, nil for none.
	SetRateLimit(limit *ratelimit.Rate)
	// SetLeftBackEnd announces the last start of a back end that has announced to this process
	// that it leaves.
	SetLeftBackEnd(left membership.BackEndStart)
	// SetVotes announces the votes of other replicas that this process has in claim groups.
	SetVotes(votes []string)
	// SetSeeds replaces the addresses through which this process joins the mesh.
	SetSeeds(seeds []string)
	// Announce sends the revisions of this process to peers at once.
	Announce()
}

// Quarantine is implemented by the plug-in that refuses requests which crash back ends.
type Quarantine interface {
	// Digest returns a hash of the known crashes, 0 when there are none. Processes with
	// equal digests have the same data.
	Digest() uint64
	// ObservePeerDigest reports the digest of a peer. It does not block.
	ObservePeerDigest(peer string, digest uint64)
}

// BackEnd is implemented by the plug-in that handles the heartbeats of the back end.
type BackEnd interface {
	// Observe handles a heartbeat. When it returns nil, the reported state is in force
	// in this process and is being announced.
	Observe(ctx context.Context, report instance.Report) error
	// Leave handles the announcement of an incarnation that it leaves. born is when it started,
	// in Unix milliseconds, 0 if unknown. When it returns nil, that incarnation gets no requests
	// after the drain time, also if it was not known.
	Leave(ctx context.Context, id string, born int64) error
	// ObserveLeaving reports that an incarnation declared that it is leaving, in the answer to a
	// request sent at sentAt.
	ObserveLeaving(incarnation string, sentAt time.Time)
	// RecallPredecessor reports that a peer knew a process that ran here before, by its record. It is called
	// on the control loop.
	RecallPredecessor(now time.Time, predecessor membership.Member)
	// RecallFromPeer reports that a peer has told of all processes that it knows to have run here
	// before. It had been running for some time when this process started. It is called on the control loop.
	RecallFromPeer(running time.Duration)
	// ObserveReplacement reports that the back end with the id actual refused a request sent to
	// the incarnation expected.
	ObserveReplacement(expected, actual string)
	// RecordUnreachable reports that no connection to the back end could be opened.
	RecordUnreachable()
	// State returns the current state of the back end.
	State() instance.State
}
