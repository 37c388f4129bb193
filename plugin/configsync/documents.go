package configsync

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/policy"
	"github.com/loomcleat/loomcleat/spread"
	"github.com/loomcleat/loomcleat/wire"
)

// document is one document that is spread. The keeper is owned by the control
// loop.
type document struct {
	name        wire.DocumentName
	key         string                       // in the store
	revisionOf  func([]byte) (uint64, error) // checks a document and returns its revision
	keeper      spread.Keeper
	subscribers []func(time.Time, []byte)
	revision    atomic.Uint64 // of the keeper, for other goroutines
	pulling     atomic.Bool   // it is being fetched from a peer
}

// synchronizer keeps the documents of one process.
type synchronizer struct {
	process   *kernel.Process
	documents map[wire.DocumentName]*document
	confirmed atomic.Bool // the policy is as new as the store's or a peer's

	mutex     sync.Mutex       // guards what follows
	freshness spread.Freshness // of the policy
	proof     spread.Proof     // of the policy
}

// Revisions implements kernel.Documents.
func (s *synchronizer) Revisions() wire.Revisions {
	revisions := wire.Revisions{Confirmed: s.confirmed.Load()}
	if age, known := s.age(); known {
		revisions.Age = max(age.Milliseconds(), 1)
	}
	if age, known := s.PolicyProof(clock.Now().Time()); known {
		revisions.ProvenAge = age.Milliseconds() + 1 // rounded up, so that it stays a bound
	}
	// After the proof: one of a newer policy would be taken for one of this policy.
	revisions.Policy = s.documents[wire.DocumentPolicy].revision.Load()
	if groups, exists := s.documents[wire.DocumentGroups]; exists {
		revisions.Groups = groups.revision.Load()
	}
	return revisions
}

// Subscribe implements kernel.Documents.
func (s *synchronizer) Subscribe(name wire.DocumentName, adopt func(time.Time, []byte)) {
	d := s.documents[name]
	d.subscribers = append(d.subscribers, adopt)
}

// Offer implements kernel.Documents.
func (s *synchronizer) Offer(ctx context.Context, name wire.DocumentName, data []byte) error {
	return s.offer(ctx, s.documents[name], data, "process")
}

// adoptPolicy puts a policy tree in force. It runs on the control loop.
func (s *synchronizer) adoptPolicy(_ time.Time, data []byte) {
	document, err := policy.Decode(data)
	if err != nil { // can't be: offer has decoded it
		s.process.Log.Emit(event.DocumentRejected, "document", string(wire.DocumentPolicy), "from", "process", "error", err)
		return
	}
	s.process.Policy.Store(policy.NewIndex(document))
}

// offer takes a document if it is newer, and tells peers. It returns the error of a document
// that fails its check, and a result.NotReady or result.Draining error when the control loop
// does not take it.
func (s *synchronizer) offer(ctx context.Context, d *document, data []byte, from string) error {
	revision, err := d.revisionOf(data)
	if err != nil {
		s.process.Log.Emit(event.DocumentRejected, "document", string(d.name), "from", from, "error", err)
		return err
	}
	return s.process.Loop.Do(ctx, func(now time.Time) {
		if revision < d.keeper.Revision() {
			s.process.Log.Emit(event.DocumentOlderSeen, "document", string(d.name), "from", from,
				"revision", revision, "in_force", d.keeper.Revision())
		}
		if !d.keeper.Offer(revision, data) {
			return
		}
		for _, adopt := range d.subscribers {
			adopt(now, data)
		}
		d.revision.Store(revision)
		s.process.Mesh.Announce()
		s.process.Log.Emit(event.DocumentAdopted, "document", string(d.name), "revision", revision, "from", from)
	})
}
