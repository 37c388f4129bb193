package configsync

import (
	"sync"
	"time"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/event"
)

// announcement records the first message by which this process learned that a higher revision of a
// document exists than the one it holds. It is for the log only.
type announcement struct {
	mutex    sync.Mutex
	peer     string
	revision uint64
	at       clock.Instant
}

// observe records that a peer holds a revision, and reports whether this is the first news of any
// revision higher than inForce.
func (a *announcement) observe(peer string, revision, inForce uint64) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if revision <= inForce || a.revision > inForce {
		return false
	}
	a.peer, a.revision, a.at = peer, revision, clock.Now()
	return true
}

// sources returns log fields about how long ago, and from which peer, this process first learned of a
// revision up to the given one. They are empty if it heard of none.
func (a *announcement) sources(revision uint64) []any {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.revision == 0 || a.revision > revision {
		return nil
	}
	fields := []any{"announced_by", a.peer, "announced_ms_ago", clock.Now().Sub(a.at).Milliseconds()}
	a.revision = 0
	return fields
}

// logAnnouncement logs the first news of a higher revision than the one in force.
func (s *synchronizer) logAnnouncement(peer string, d *document, revision uint64) {
	inForce := d.revision.Load()
	if d.announced.observe(peer, revision, inForce) {
		s.process.Log.Emit(event.DocumentAnnounced, "document", string(d.name), "revision", revision, "by", peer,
			"in_force", inForce, "confirmed_ms_ago", s.ageMilliseconds())
	}
}

// logFetchFailed logs that a fetch from a peer failed, and how long other fetches waited for it.
func (s *synchronizer) logFetchFailed(peer string, d *document, startedAt clock.Instant, err error) {
	s.process.Log.Emit(event.FetchFailed, "document", string(d.name), "from", peer, "in_force", d.revision.Load(),
		"took_ms", clock.Now().Sub(startedAt).Milliseconds(), "error", err)
}

// ageMilliseconds returns the time since the policy was known to be the newest one, -1 if it never was.
func (s *synchronizer) ageMilliseconds() int64 {
	age, known := s.age()
	if !known {
		return -1
	}
	return int64(age / time.Millisecond)
}
