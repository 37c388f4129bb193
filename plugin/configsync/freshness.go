package configsync

import (
	"time"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/wire"
)

// recordRead records that the store returned a document. at is the time for the freshness estimate;
// proven is the time for the proof, earlier than at where the store may lag. The proof is recorded
// only if the document is the newest one that is known. It ignores documents other than the policy.
func (s *synchronizer) recordRead(d *document, at, proven time.Time, isNewest bool) {
	if d.name != wire.DocumentPolicy {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.freshness.RecordVerified(at)
	if isNewest {
		s.proof.Record(proven)
	}
}

// recordConfirmation records a peer's estimate of the age of its policy if this process has
// the same revision.
func (s *synchronizer) recordConfirmation(revisions wire.Revisions) {
	if revisions.Age == 0 || revisions.Policy != s.documents[wire.DocumentPolicy].revision.Load() {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.freshness.RecordConfirmation(clock.Now().Time(), time.Duration(revisions.Age)*time.Millisecond)
}

// age returns the estimated time since the policy was known to be the newest one, and false
// if it never was.
func (s *synchronizer) age() (time.Duration, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.freshness.Age(clock.Now().Time())
}

// mustReadStore reports whether this process must read a document from the store although it is not
// one of those that watch it. size is the number of live processes in the mesh.
func (s *synchronizer) mustReadStore(d *document, size int) bool {
	if s.proofOlderThan(storeProofShare) {
		return true
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := clock.Now().Time()
	return s.freshness.MustReadStore(now, size) || d.fetches.MustReadStore(now)
}
