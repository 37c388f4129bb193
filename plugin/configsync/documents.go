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

// document is one of the documents that processes distribute among each other.
type document struct {
	name wire.DocumentName
	// Key in the store.
	key string
	// Checks an encoded document and returns its revision.
	revisionOf func([]byte) (uint64, error)
	// The document in force, owned by the control loop.
	current spread.CurrentDocument
	// Called on the control loop with each new revision.
	subscribers []func(time.Time, []byte)
	// Revision of current, for other goroutines.
	revision atomic.Uint64
	// Decides from which peers a higher revision is fetched. Guarded by synchronizer.mutex.
	fetches spread.Fetches
}

// synchronizer keeps the documents of one process up to date.
type synchronizer struct {
	process   *kernel.Process
	documents map[wire.DocumentName]*document
	// Whether the policy was once confirmed to be as new as that of the store or a peer.
	confirmed atomic.Bool

	timing spread.Timing

	// Guards the fields below, which concern the policy document, and the fetches of all documents.
	mutex sync.Mutex
	// When the policy was known to be the newest one, for the decision who reads the store.
	newest spread.Proof
	// The same for the trust in keys: it also counts the time by which the answer to a wait may lag.
	proof spread.Proof
}

// Revisions implements kernel.Documents.
func (s *synchronizer) Revisions() wire.Revisions {
	revisions := wire.Revisions{Confirmed: s.confirmed.Load(), StoreEra: s.process.StoreEra()}
	if age, known := s.age(); known {
		revisions.Age = age.Milliseconds() + 1 // Rounded up: it must not be less than the age.
	}
	if age, known := s.PolicyProof(clock.Now().Time()); known {
		revisions.ProvenAge = age.Milliseconds() + 1 // Rounded up: it must not be less than the age.
	}
	// Read after the proof: otherwise the proof of a newer policy could be sent with the
	// revision of an older one.
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
	_, err := s.offer(ctx, s.documents[name], data, "process")
	return err
}

// adoptPolicy puts a policy document in force. It runs on the control loop.
func (s *synchronizer) adoptPolicy(_ time.Time, data []byte) {
	document, err := policy.Decode(data)
	if err != nil { // Unreachable: offer has checked the document.
		s.process.Log.Emit(event.DocumentRejected, "document", string(wire.DocumentPolicy), "from", "process", "error", err)
		return
	}
	s.process.Policy.Store(policy.NewIndex(document))
}

// offer puts a document in force if it is newer than the current one, and announces it to
// peers. from is the source of the document, for the log. It returns the revision of the document,
// the error of one that fails its check, and a result.NotReady or result.Draining error if the
// control loop does not run.
func (s *synchronizer) offer(ctx context.Context, d *document, data []byte, from string) (uint64, error) {
	revision, err := d.revisionOf(data)
	if err != nil {
		s.process.Log.Emit(event.DocumentRejected, "document", string(d.name), "from", from, "error", err)
		return 0, err
	}
	return revision, s.process.Loop.Do(ctx, func(now time.Time) {
		if revision < d.current.Revision() {
			s.process.Log.Emit(event.DocumentOlderSeen, "document", string(d.name), "from", from,
				"revision", revision, "in_force", d.current.Revision())
		}
		if !d.current.Offer(revision, data) {
			return
		}
		for _, adopt := range d.subscribers {
			adopt(now, data)
		}
		d.revision.Store(revision)
		news := s.recordAdopted(now, d, revision)
		s.process.Mesh.Announce()
		fields := append([]any{"document", string(d.name), "revision", revision, "from", from}, news...)
		s.process.Log.Emit(event.DocumentAdopted, fields...)
	})
}
