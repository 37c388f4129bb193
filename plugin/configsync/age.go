package configsync

import (
	"time"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/spread"
	"github.com/loomcleat/loomcleat/wire"
)

// recordRead records that the store returned a document. at is when it was the newest one in the
// store; proven is the time for the proof, earlier than at where the store may lag. The proof is
// recorded only if the document is the newest one that is known. It ignores documents other than the
// policy.
func (s *synchronizer) recordRead(d *document, at, proven time.Time, isNewest bool) {
	if d.name != wire.DocumentPolicy {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.newest.Record(at)
	if isNewest {
		s.proof.Record(proven)
	}
}

// recordReply records the ages that a peer states of its policy in a reply. requestedAt is when this
// process sent the request, zero for an unsolicited message, which may have been on its way for any
// time and proves nothing. If the policy of this process is newer than the peer's, it was written
// later, so that the ages hold for it too.
func (s *synchronizer) recordReply(revisions wire.Revisions, requestedAt time.Time) {
	if requestedAt.IsZero() || revisions.Policy > s.documents[wire.DocumentPolicy].revision.Load() {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	recordAge(&s.newest, requestedAt, revisions.Age)
	recordAge(&s.proof, requestedAt, revisions.ProvenAge)
}

// recordAge records an age that a reply states, in milliseconds, 0 for none.
func recordAge(proof *spread.Proof, requestedAt time.Time, age int64) {
	if age > 0 {
		proof.Record(requestedAt.Add(-time.Duration(age) * time.Millisecond))
	}
}

// age returns the time since the policy was known to be the newest one, and false if it never was.
func (s *synchronizer) age() (time.Duration, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.newest.Age(clock.Now().Time())
}

// isOlderThan reports whether the policy was not known to be the newest one within the given time.
func (s *synchronizer) isOlderThan(limit time.Duration) bool {
	age, known := s.age()
	return !known || age > limit
}

// MayBeOutdated implements kernel.Documents.
func (s *synchronizer) MayBeOutdated(revision uint64) bool {
	isUnconfirmed := s.process.Store != nil && s.isUnconfirmed()
	// Read last: what was confirmed may be a policy that has replaced the given one.
	return isUnconfirmed || s.documents[wire.DocumentPolicy].revision.Load() > revision
}

// isUnconfirmed reports whether a higher revision of the policy is known to exist, or the one in force
// was not known to be the newest one lately.
func (s *synchronizer) isUnconfirmed() bool {
	s.mutex.Lock()
	isOutdated := s.documents[wire.DocumentPolicy].fetches.IsOutdated()
	s.mutex.Unlock()
	return isOutdated || s.isOlderThan(s.timing.ReadAge)
}

// mustReadStore reports whether this process must read a document from the store although it is not
// one of those that watch it.
func (s *synchronizer) mustReadStore(d *document) bool {
	if s.proofOlderThan(storeProofShare) || s.isOlderThan(s.timing.ReadAge) {
		return true
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return d.fetches.MustReadStore(clock.Now().Time())
}
