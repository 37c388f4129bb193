package configsync

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/spread"
	"github.com/loomcleat/loomcleat/store"
	"github.com/loomcleat/loomcleat/wire"
)

// Times of watching the store.
const (
	// watchWait is how long the store is asked to wait for a change at most. It is short because a
	// wait that is never answered delays the next change by this time.
	watchWait = 700 * time.Millisecond
	// minimumWait is how long it is asked to wait at least.
	minimumWait = 100 * time.Millisecond
	// answerMargin is how long the answer may take beyond the wait that was asked for.
	answerMargin = 300 * time.Millisecond
	// coalesceDelay is the pause after a change, so that several changes in quick succession are
	// read together.
	coalesceDelay = 100 * time.Millisecond
	// maximumWatchLag is the maximum time by which the answer to a wait may lag behind a
	// change. The proof from a wait counts from that much earlier.
	maximumWatchLag = time.Second
	// firstBackoff and maximumBackoff bound the time between two attempts while the store
	// fails. It doubles with each failure.
	firstBackoff   = 100 * time.Millisecond
	maximumBackoff = time.Second
	// maximumTimeoutDoublings bounds how often the timeout of a read doubles.
	maximumTimeoutDoublings = 3
)

// watcher watches one document in the store.
type watcher struct {
	synchronizer *synchronizer
	document     *document
	// Position in the store from which to wait for the next change; 0 reads at once.
	position uint64
	// Era and index of the entry that was offered last, and the revision of its document.
	offeredEra      store.Era
	offeredIndex    uint64
	offeredRevision uint64
	// Consecutive failures.
	failures int
	// Whether this process watches the document now.
	active bool
}

// watch watches one document in the store while this process must, until ctx is done. That
// includes a document that does not exist yet, since peers also confirm its absence.
func (s *synchronizer) watch(ctx context.Context, d *document) {
	w := &watcher{synchronizer: s, document: d}
	for ctx.Err() == nil {
		if !w.shouldWatch() {
			w.position = 0
			kernel.Pause(ctx, s.timing.CheckInterval)
			continue
		}
		before := d.revision.Load()
		if err := w.step(ctx); err != nil {
			w.recordFailure(ctx, err)
			kernel.Pause(ctx, w.backoff())
			continue
		}
		w.recordSuccess()
		if d.revision.Load() != before {
			kernel.Pause(ctx, coalesceDelay)
		}
	}
}

// shouldWatch reports whether this process must watch the store, and logs a change.
func (w *watcher) shouldWatch() bool {
	s := w.synchronizer
	watching := s.watches(w.document)
	if watching != w.active {
		w.active = watching
		s.process.Log.Emit(event.StoreWatchChanged, "document", string(w.document.name), "watching", watching,
			"confirmed_ms_ago", s.ageMilliseconds())
	}
	return watching
}

// settleTime is the time after its start during which a process knows too few members to
// decide whether it is one of those that watch the store. Without it, all processes of a
// mesh that starts at once would watch.
const settleTime = 1500 * time.Millisecond

// watches reports whether this process is one of those that watch the store, or must read it
// because its peers don't confirm the policy or don't deliver a higher revision.
func (s *synchronizer) watches(d *document) bool {
	live := kernel.LiveIDs(*s.process.Members.Load())
	settled := time.Since(s.process.Started) >= settleTime
	if settled && spread.Watches(s.process.ID, live, s.process.Settings.StoreWatches) {
		return true
	}
	return s.mustReadStore(d)
}

// recordFailure records a failure. Only the first of several consecutive failures is logged.
func (w *watcher) recordFailure(ctx context.Context, err error) {
	w.failures++
	w.position = 0
	if w.failures != 1 || ctx.Err() != nil {
		return
	}
	w.synchronizer.process.Log.Emit(event.StoreUnreachable, "code", int(result.From(err).Code),
		"document", string(w.document.name), "revision", w.document.revision.Load(), "error", err)
}

// recordSuccess resets the failure count and logs a recovery.
func (w *watcher) recordSuccess() {
	if w.failures > 0 {
		w.synchronizer.process.Log.Emit(event.StoreRecovered, "document", string(w.document.name),
			"revision", w.document.revision.Load())
	}
	w.failures = 0
}

// step reads the document or waits for its next change, offers it to this process, and
// updates the position.
func (w *watcher) step(ctx context.Context) error {
	s, d := w.synchronizer, w.document
	requestedAt := clock.Now().Time()
	wait := w.nextWait()
	entry, err := w.read(ctx, wait)
	if err != nil {
		return err
	}
	s.process.ObserveStoreEra(entry.Era)
	isUnchanged := w.isOffered(entry)
	if err := w.offerEntry(ctx, entry); err != nil {
		return err
	}
	// A store that was restored from an older copy lacks changes. What it shows then proves nothing.
	isNewest := w.offeredRevision >= d.revision.Load()
	s.recordRead(d, newestAt(requestedAt, wait, isUnchanged), provenAt(requestedAt, wait), isNewest)
	if d.name == wire.DocumentPolicy && (entry.Exists || !s.process.Settings.PolicyRequired) {
		s.confirmed.Store(true)
	}
	if entry.WatchPosition < w.position {
		w.position = 0 // The store was reset: read it again.
		return nil
	}
	w.position = max(entry.WatchPosition, 1)
	return nil
}

// nextWait returns how long to wait for the next change, 0 to read at once. The end of a wait confirms
// the document, and peers ask for that, so that a wait is short when the last confirmation is old: a
// wait that ended with a change confirms it for its beginning only.
func (w *watcher) nextWait() time.Duration {
	if w.position == 0 {
		return 0
	}
	age, _ := w.synchronizer.age()
	return min(max(w.synchronizer.timing.WaitAge-age, minimumWait), watchWait)
}

// newestAt returns when the entry of a read, or of a wait for a change, that began at requestedAt was
// the newest one in the store. A wait without a change takes its whole time; the answer with a change
// may have been given at any time since it began, and have been delayed.
func newestAt(requestedAt time.Time, wait time.Duration, isUnchanged bool) time.Time {
	if isUnchanged && clock.Now().Time().Sub(requestedAt) >= wait {
		return requestedAt.Add(wait)
	}
	return requestedAt
}

// provenAt returns since when the entry of a read or of a wait proves the policy.
func provenAt(requestedAt time.Time, wait time.Duration) time.Time {
	if wait > 0 {
		return requestedAt.Add(-maximumWatchLag)
	}
	return requestedAt
}

// offerEntry offers an entry unless it is the one that was offered last. Most waits end without a
// change, and decoding a document is costly.
func (w *watcher) offerEntry(ctx context.Context, entry store.Entry) error {
	if !entry.Exists {
		w.offeredIndex, w.offeredRevision = 0, 0
		return nil
	}
	if w.isOffered(entry) {
		return nil
	}
	revision, err := w.synchronizer.offer(ctx, w.document, entry.Value, "store")
	if err != nil {
		return err
	}
	w.offeredEra, w.offeredIndex, w.offeredRevision = entry.Era, entry.Index, revision
	return nil
}

// isOffered reports whether an entry is the one that was offered last, or is still absent.
func (w *watcher) isOffered(entry store.Entry) bool {
	if !entry.Exists {
		return w.offeredIndex == 0
	}
	return entry.Index == w.offeredIndex && entry.Era == w.offeredEra
}

// read waits for the next change of the document, or reads it at once if wait is 0.
func (w *watcher) read(ctx context.Context, wait time.Duration) (store.Entry, error) {
	s, d := w.synchronizer, w.document
	if wait == 0 {
		return w.get(ctx)
	}
	waiting, cancel := context.WithTimeout(ctx, wait+answerMargin)
	defer cancel()
	entry, err := s.process.Store.Watch(waiting, d.key, w.position, wait)
	if err != nil && ctx.Err() == nil && waiting.Err() != nil {
		return w.get(ctx) // The server that held the wait may be down.
	}
	return entry, err
}

// get reads the document. The timeout is short at first, since a connection may have gone silent, and
// doubles with each failure, since the store may be slow.
func (w *watcher) get(ctx context.Context) (store.Entry, error) {
	timeout := w.synchronizer.timing.ReadTimeout << min(w.failures, maximumTimeoutDoublings)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return w.synchronizer.process.Store.Get(ctx, w.document.key)
}

// backoff returns the randomized pause after a failure. There is none after the first one, which may
// only have shown that a connection went silent.
func (w *watcher) backoff() time.Duration {
	if w.failures <= 1 {
		return 0
	}
	limit := min(firstBackoff<<min(w.failures, 6), maximumBackoff)
	return limit/2 + rand.N(limit/2)
}
