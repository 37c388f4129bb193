package instance

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/kernel"
)

// Bounds of attempts to read and write the store.
const (
	// firstStoreTimeout and maximumStoreTimeout bound one attempt. The first ones are short, so that one whose
	// answer is lost can be repeated in acknowledgeTimeout.
	firstStoreTimeout   = 350 * time.Millisecond
	maximumStoreTimeout = 3 * time.Second
	// firstStorePause and maximumStorePause bound the time between two attempts.
	firstStorePause   = 50 * time.Millisecond
	maximumStorePause = time.Second
)

// keepRecord reads the record after the start of the process, and writes each change, until ctx is done.
func (p *plugin) keepRecord(ctx context.Context) {
	for {
		p.syncUntilDone(ctx)
		select {
		case <-ctx.Done():
			return
		case <-p.record.due:
		}
	}
}

// syncUntilDone repeats sync until the store has the record or ctx is done. Only the first error is logged.
func (p *plugin) syncUntilDone(ctx context.Context) {
	timeout, pause := firstStoreTimeout, firstStorePause
	for failed := false; ctx.Err() == nil; {
		done, err := p.sync(ctx, timeout)
		if done {
			return
		}
		if err != nil && !failed && ctx.Err() == nil {
			failed = true
			p.process.Log.Emit(event.LeavingNotStored, "key", p.record.key, "error", err)
		}
		kernel.Pause(ctx, pause/2+rand.N(pause))
		timeout, pause = min(2*timeout, maximumStoreTimeout), min(2*pause, maximumStorePause)
	}
}

// sync reads the record, unless it is known, and writes what it lacks. It returns false if the record has to be
// read again.
func (p *plugin) sync(ctx context.Context, timeout time.Duration) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if !p.record.entryKnown {
		if err := p.readRecord(ctx); err != nil {
			return false, err
		}
	}
	return p.record.write(ctx)
}

// readRecord reads the record and passes on to the tracker what it tells. Until both are done, it is not known.
func (p *plugin) readRecord(ctx context.Context) error {
	entry, err := p.record.store.Get(ctx, p.record.key)
	if err != nil {
		return err
	}
	stored := decodeRecord(entry.Value)
	if err := p.process.Loop.Do(ctx, func(now time.Time) { p.recallStored(now, stored) }); err != nil {
		return err
	}
	p.record.entry, p.record.entryKnown = entry, true
	return nil
}
