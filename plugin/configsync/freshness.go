package configsync

import (
	"time"

	"github.com/loomcleat/loomcleat/wire"
)

// verified records that the store showed the document as the newest one.
func (s *synchronizer) verified(d *document, at time.Time) {
	if d.name != wire.DocumentPolicy {
		return
	}
	s.freshnessLock.Lock()
	defer s.freshnessLock.Unlock()
	s.freshness.Verified(at)
}

// vouched takes what a peer knows of its policy.
func (s *synchronizer) vouched(revisions wire.Revisions) {
	if revisions.Age == 0 || revisions.Policy != s.documents[wire.DocumentPolicy].revision.Load() {
		return
	}
	s.freshnessLock.Lock()
	defer s.freshnessLock.Unlock()
	s.freshness.Vouched(time.Now(), time.Duration(revisions.Age)*time.Millisecond)
}

func (s *synchronizer) age() (time.Duration, bool) {
	s.freshnessLock.Lock()
	defer s.freshnessLock.Unlock()
	return s.freshness.Age(time.Now())
}

// mustLook reports whether this process must look at the store itself, in a mesh
// of the given size.
func (s *synchronizer) mustLook(size int) bool {
	s.freshnessLock.Lock()
	defer s.freshnessLock.Unlock()
	return s.freshness.MustLook(time.Now(), size)
}
