package configsync

import (
	"time"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/wire"
)

// verified records that the store showed a document as the newest one at a time, and as
// proof another time, which is earlier where the store may lag. Only the policy's count.
func (s *synchronizer) verified(d *document, at, proven time.Time) {
	if d.name != wire.DocumentPolicy {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.freshness.Verified(at)
	s.proof.Record(proven)
}

// vouched takes a peer's estimate for its policy, when this process has the same one.
func (s *synchronizer) vouched(revisions wire.Revisions) {
	if revisions.Age == 0 || revisions.Policy != s.documents[wire.DocumentPolicy].revision.Load() {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.freshness.Vouched(clock.Now().Time(), time.Duration(revisions.Age)*time.Millisecond)
}

// age returns how long ago the policy was known to be the newest one, by estimate.
func (s *synchronizer) age() (time.Duration, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.freshness.Age(clock.Now().Time())
}

// mustLook reports whether this process, in a mesh of the given size, must read the store
// although it is not one of those that watch it.
func (s *synchronizer) mustLook(size int) bool {
	if s.proofIsOld(storeProofShare) {
		return true
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.freshness.MustLook(clock.Now().Time(), size)
}
