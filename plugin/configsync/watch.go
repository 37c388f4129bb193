package configsync

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/spread"
	"github.com/loomcleat/loomcleat/store"
	"github.com/loomcleat/loomcleat/wire"
)

// Watching of the store.
const (
	watchWait      = 20 * time.Second
	idleWait       = time.Second            // of processes that do not watch
	gatherTime     = 100 * time.Millisecond // after a change, to read several in quick succession at once
	firstBackoff   = 100 * time.Millisecond
	maximumBackoff = time.Second
	probeInterval  = time.Second
	probeTimeout   = 800 * time.Millisecond
)

// watcher follows one document in the store.
type watcher struct {
	synchronizer *synchronizer
	document     *document
	position     uint64 // to wait from, 0: read at once
	failures     int    // in a row
	active       bool
	probe        spread.Probe
}

// watch follows one document in the store while it is this process's turn, and
// until the policy is confirmed at the start.
func (s *synchronizer) watch(ctx context.Context, d *document) {
	w := &watcher{synchronizer: s, document: d}
	for ctx.Err() == nil {
		if !w.wanted() {
			w.position = 0
			pause(ctx, idleWait)
			continue
		}
		before := d.revision.Load()
		if err := w.once(ctx); err != nil {
			w.failed(ctx, err)
			pause(ctx, backoff(w.failures))
			continue
		}
		w.recovered()
		if d.revision.Load() != before {
			pause(ctx, gatherTime)
		}
	}
}

// wanted reports whether it is this process's turn.
func (w *watcher) wanted() bool {
	s := w.synchronizer
	wanted := !s.confirmed.Load() || s.watches()
	if wanted != w.active {
		w.active = wanted
		s.process.Log.Emit(event.StoreWatchChanged, "document", string(w.document.name), "watching", wanted)
	}
	return wanted
}

// watches reports whether this process is one of those that watch the store.
func (s *synchronizer) watches() bool {
	return spread.Watches(s.process.ID, kernel.LiveIDs(*s.process.Members.Load()), s.process.Settings.StoreWatches)
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
	entry, err := w.read(ctx)
	if err != nil {
		return err
	}
	w.probe.Known(entry.Index)
	if entry.Exists {
		if err := s.offer(ctx, d, entry.Value, "store"); err != nil {
			return err
		}
	}
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

// read reads the document at once, or waits for its next change. The wait ends
// early when the probe finds that nobody may be going to answer it.
func (w *watcher) read(ctx context.Context) (store.Entry, error) {
	s, d := w.synchronizer, w.document
	if w.position == 0 {
		return s.process.Store.Get(ctx, d.key)
	}
	waiting, stop := context.WithCancel(ctx)
	probed := make(chan struct{})
	go func() {
		defer close(probed)
		w.watchOver(waiting, stop)
	}()
	entry, err := s.process.Store.Watch(waiting, d.key, w.position, watchWait)
	abandoned := waiting.Err() != nil && ctx.Err() == nil
	stop()
	<-probed
	if err != nil && abandoned {
		return s.process.Store.Get(ctx, d.key)
	}
	return entry, err
}

// watchOver probes the store while a wait is open, and stops the wait when the
// document should be read anew.
func (w *watcher) watchOver(ctx context.Context, stop context.CancelFunc) {
	s := w.synchronizer
	for {
		pause(ctx, s.probeInterval)
		if ctx.Err() != nil {
			return
		}
		probing, cancel := context.WithTimeout(ctx, probeTimeout)
		index, err := s.process.Store.Peek(probing, w.document.key)
		cancel()
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			w.probe.Failed()
		case w.probe.Answered(index):
			stop()
			return
		}
	}
}

func backoff(failures int) time.Duration {
	limit := min(firstBackoff<<min(failures, 6), maximumBackoff)
	return limit/2 + rand.N(limit/2)
}

func pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
