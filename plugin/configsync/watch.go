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
	// watchWait is how long the store is asked to wait for a change. A wait may never be
	// answered, so that a longer one delays the next change.
	watchWait = 700 * time.Millisecond
	// answerTime is how long the answer may take beyond watchWait.
	answerTime = 500 * time.Millisecond
	// idleWait is the time between two checks whether it is this process's turn.
	idleWait = 200 * time.Millisecond
	// gatherTime is waited for after a change, so that several in quick succession are read
	// at once.
	gatherTime = 100 * time.Millisecond
	// maximumWatchLag is how long the store may hold a change back from those that wait for
	// it. What a wait proves counts from that much earlier.
	maximumWatchLag = time.Second
	// firstBackoff and maximumBackoff bound the time between two attempts while the store
	// fails; it doubles with each failure.
	firstBackoff   = 100 * time.Millisecond
	maximumBackoff = time.Second
)

// watcher follows one document in the store.
type watcher struct {
	synchronizer *synchronizer
	document     *document
	position     uint64 // to wait from, 0: read at once
	taken        uint64 // index of the entry that was offered last
	failures     int    // in a row
	active       bool
}

// watch follows one document in the store while it is this process's turn: also
// while there is none yet, since peers vouch for that as well.
func (s *synchronizer) watch(ctx context.Context, d *document) {
	w := &watcher{synchronizer: s, document: d}
	for ctx.Err() == nil {
		if !w.wanted() {
			w.position = 0
			kernel.Pause(ctx, idleWait)
			continue
		}
		before := d.revision.Load()
		if err := w.once(ctx); err != nil {
			w.failed(ctx, err)
			kernel.Pause(ctx, backoff(w.failures))
			continue
		}
		w.recovered()
		if d.revision.Load() != before {
			kernel.Pause(ctx, gatherTime)
		}
	}
}

// wanted reports whether it is this process's turn.
func (w *watcher) wanted() bool {
	s := w.synchronizer
	wanted := s.watches()
	if wanted != w.active {
		w.active = wanted
		s.process.Log.Emit(event.StoreWatchChanged, "document", string(w.document.name), "watching", wanted)
	}
	return wanted
}

// settleTime is how long after its start a process knows too few others to tell
// whether it is one of those that watch the store. All processes of a mesh that
// starts at once would take themselves for one.
const settleTime = 1500 * time.Millisecond

// watches reports whether this process is one of those that watch the store, or
// is left alone by them.
func (s *synchronizer) watches() bool {
	live := kernel.LiveIDs(*s.process.Members.Load())
	settled := time.Since(s.process.Started) >= settleTime
	if settled && spread.Watches(s.process.ID, live, s.process.Settings.StoreWatches) {
		return true
	}
	return s.mustLook(len(live))
}

func (w *watcher) failed(ctx context.Context, err error) {
	w.failures++
	w.position = 0
	if w.failures != 1 || ctx.Err() != nil {
		return
	}
	w.synchronizer.process.Log.Emit(event.StoreUnreachable, "code", int(result.From(err).Code),
		"document", string(w.document.name), "revision", w.document.revision.Load(), "error", err)
}

func (w *watcher) recovered() {
	if w.failures > 0 {
		w.synchronizer.process.Log.Emit(event.StoreRecovered, "document", string(w.document.name),
			"revision", w.document.revision.Load())
	}
	w.failures = 0
}

// once reads the document, or waits for its next change, and moves the position.
func (w *watcher) once(ctx context.Context) error {
	s, d := w.synchronizer, w.document
	asked := clock.Now().Time()
	proven := asked
	if w.position > 0 {
		proven = asked.Add(-maximumWatchLag)
	}
	entry, err := w.read(ctx)
	if err != nil {
		return err
	}
	if err := w.take(ctx, entry); err != nil {
		return err
	}
	s.verified(d, asked, proven)
	if d.name == wire.DocumentPolicy && (entry.Exists || !s.process.Settings.PolicyRequired) {
		s.confirmed.Store(true)
	}
	if entry.Watch < w.position {
		w.position = 0 // the store went back: read it anew
		return nil
	}
	w.position = max(entry.Watch, 1)
	return nil
}

// take offers an entry, unless it is the one that was offered last: most waits
// bring no news, and a document is long.
func (w *watcher) take(ctx context.Context, entry store.Entry) error {
	if !entry.Exists || entry.Index == w.taken {
		return nil
	}
	if err := w.synchronizer.offer(ctx, w.document, entry.Value, "store"); err != nil {
		return err
	}
	w.taken = entry.Index
	return nil
}

// read reads the document at once, or waits for its next change.
func (w *watcher) read(ctx context.Context) (store.Entry, error) {
	s, d := w.synchronizer, w.document
	if w.position == 0 {
		return s.process.Store.Get(ctx, d.key)
	}
	waiting, cancel := context.WithTimeout(ctx, watchWait+answerTime)
	defer cancel()
	entry, err := s.process.Store.Watch(waiting, d.key, w.position, watchWait)
	if err != nil && ctx.Err() == nil && waiting.Err() != nil {
		return s.process.Store.Get(ctx, d.key) // the server that held the wait may be gone
	}
	return entry, err
}

func backoff(failures int) time.Duration {
	limit := min(firstBackoff<<min(failures, 6), maximumBackoff)
	return limit/2 + rand.N(limit/2)
}
