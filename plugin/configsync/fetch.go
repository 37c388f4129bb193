package configsync

import (
	"context"
	"net/http"
	"time"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/wire"
)

// fetchTimeout bounds the transfer of one document from a peer.
const fetchTimeout = 2 * time.Second

// observeRevision records that a peer holds a revision of a document, and fetches it if it is higher
// than that of this process.
func (s *synchronizer) observeRevision(peer string, d *document, revision uint64) {
	if revision <= d.revision.Load() {
		return
	}
	s.mutex.Lock()
	isNews := d.fetches.Observe(clock.Now().Time(), peer, revision)
	s.mutex.Unlock()
	if isNews {
		s.logAnnounced(d, revision, peer)
	}
	s.fetchNext(d)
}

// fetchNext begins the next fetch of a document that is due, and the ones after it when they are.
func (s *synchronizer) fetchNext(d *document) {
	if s.process.Context().Err() != nil {
		return
	}
	s.mutex.Lock()
	peer, found := d.fetches.Next(clock.Now().Time())
	s.mutex.Unlock()
	if !found {
		return
	}
	go s.fetch(peer, d)
	time.AfterFunc(s.timing.HedgeDelay, func() { s.fetchNext(d) })
}

// fetch fetches a document from a peer, puts it in force if it is newer, and begins the next fetch.
func (s *synchronizer) fetch(peer string, d *document) {
	ctx, cancel := context.WithTimeout(s.process.Context(), fetchTimeout)
	defer cancel()
	startedAt := clock.Now()
	if err := s.transfer(ctx, peer, d); err != nil {
		s.logFetchFailed(d, peer, startedAt, err)
	}
	s.mutex.Lock()
	d.fetches.Ended(peer)
	s.mutex.Unlock()
	s.fetchNext(d)
}

// transfer reads a document from a peer and puts it in force if it is newer.
func (s *synchronizer) transfer(ctx context.Context, peer string, d *document) error {
	var fetched wire.Document
	if err := s.process.Control.Invoke(ctx, peer, http.MethodGet, wire.PathDocument+string(d.name), nil, &fetched); err != nil {
		return err
	}
	if _, err := s.offer(ctx, d, fetched.Data, peer); err != nil {
		return err
	}
	if fetched.Confirmed && d.name == wire.DocumentPolicy {
		s.confirmed.Store(true)
	}
	return nil
}

// logAnnounced logs the first news of a higher revision than the one in force.
func (s *synchronizer) logAnnounced(d *document, revision uint64, peer string) {
	s.process.Log.Emit(event.DocumentAnnounced, "document", string(d.name), "revision", revision, "by", peer,
		"in_force", d.revision.Load(), "confirmed_ms_ago", s.ageMilliseconds())
}

// logFetchFailed logs that a fetch from a peer failed.
func (s *synchronizer) logFetchFailed(d *document, peer string, startedAt clock.Instant, err error) {
	s.process.Log.Emit(event.FetchFailed, "document", string(d.name), "from", peer, "in_force", d.revision.Load(),
		"took_ms", clock.Now().Sub(startedAt).Milliseconds(), "error", err)
}

// recordAdopted records that a revision is in force. It returns log fields about the first news of a
// higher revision than the one before, none if the process had not heard of one.
func (s *synchronizer) recordAdopted(now time.Time, d *document, revision uint64) []any {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	news, known := d.fetches.Adopted(revision)
	if !known {
		return nil
	}
	return []any{"announced_by", news.Peer, "announced_ms_ago", now.Sub(news.At).Milliseconds()}
}

// ageMilliseconds returns the time since the policy was known to be the newest one, -1 if it never was.
func (s *synchronizer) ageMilliseconds() int64 {
	age, known := s.age()
	if !known {
		return -1
	}
	return age.Milliseconds()
}
