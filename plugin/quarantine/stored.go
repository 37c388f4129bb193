package quarantine

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/quarantine"
	"github.com/loomcleat/loomcleat/spread"
	"github.com/loomcleat/loomcleat/store"
	"github.com/loomcleat/loomcleat/wire"
)

// storeKey is the store key of the requests in quarantine, a wire.Crashes in JSON. It
// preserves them across a restart of all processes.
const storeKey = "quarantine"

// Bounds of store access.
const (
	// storeTimeout bounds one read, or one read and the write that follows it.
	storeTimeout = 2 * time.Second
	// storeRetryInterval is the time between two attempts to reach the store.
	storeRetryInterval = time.Second
	// discoveryTime is the delay after the start until peers are known. Their gossip brings
	// the known crashes, so that only a few processes must read the store.
	discoveryTime = time.Second
)

// syncStore reads the requests in quarantine from the store at the start, and writes them
// when a request that crashed this node's back end has been quarantined. It runs until ctx is
// done. Without the stored entry, a restart of all processes would let the request crash
// several more back ends.
func (p *plugin) syncStore(ctx context.Context) {
	kernel.Pause(ctx, discoveryTime)
	alive := kernel.LiveIDs(*p.process.Members.Load())
	if spread.Watches(p.process.ID, alive, p.process.Settings.StoreWatches) {
		p.retryUntilDone(ctx, p.load)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.saveDue:
			p.retryUntilDone(ctx, p.write)
		}
	}
}

// requestSave wakes syncStore to write the requests in quarantine to the store.
func (p *plugin) requestSave() { kernel.Wake(p.saveDue) }

// saveAgainSpread is the time over which nodes write their requests in quarantine again.
const saveAgainSpread = 5 * time.Second

// saveAgain requests a save after the store was restored from an older copy, which may lack requests
// in quarantine.
func (p *plugin) saveAgain() {
	if len(p.quarantinedCrashes()) > 0 {
		time.AfterFunc(rand.N(saveAgainSpread), p.requestSave)
	}
}

// retryUntilDone repeats a step every storeRetryInterval until the step or ctx is done. Only
// the first error is logged.
func (p *plugin) retryUntilDone(ctx context.Context, step func(context.Context) (bool, error)) {
	for failed := false; ctx.Err() == nil; {
		limited, cancel := context.WithTimeout(ctx, storeTimeout)
		done, err := step(limited)
		cancel()
		if done {
			return
		}
		if err != nil && !failed {
			failed = true
			p.process.Log.Emit(event.QuarantineNotStored, "error", err)
		}
		kernel.Pause(ctx, storeRetryInterval)
	}
}

// load merges the stored crashes into the ledger, as a step for retryUntilDone.
func (p *plugin) load(ctx context.Context) (bool, error) {
	_, err := p.read(ctx)
	return err == nil, err
}

// read merges the stored crashes into the ledger and returns the store entry.
func (p *plugin) read(ctx context.Context) (store.Entry, error) {
	entry, err := p.process.Store.Get(ctx, storeKey)
	if err != nil || !entry.Exists {
		return entry, err
	}
	var stored wire.Crashes
	if err := json.Unmarshal(entry.Value, &stored); err != nil {
		p.process.Log.Emit(event.QuarantineNotStored, "error", err)
		return entry, nil // The next write replaces a malformed value.
	}
	p.mergeReports(clock.Now().Time(), stored.Crashes, "store")
	return entry, nil
}

// write writes the requests in quarantine to the store, merged with the stored ones. It
// returns false if another process changed the entry meanwhile.
func (p *plugin) write(ctx context.Context) (bool, error) {
	entry, err := p.read(ctx)
	if err != nil {
		return false, err
	}
	data, err := json.Marshal(wire.Crashes{Crashes: withoutAges(p.quarantinedCrashes())})
	if err != nil {
		return false, err
	}
	if bytes.Equal(data, entry.Value) {
		return true, nil // Another node has written the same requests.
	}
	return p.process.Store.CompareAndSwap(ctx, storeKey, data, entry.Index)
}

// quarantinedCrashes returns the crashes of the requests in quarantine.
func (p *plugin) quarantinedCrashes() []quarantine.CrashReport {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.ledger.CrashesOfQuarantined(clock.Now().Time())
}

// withoutAges sets the ages of crashes to zero in place, since it is unknown how long they
// will have been in the store when they are read.
func withoutAges(crashes []quarantine.CrashReport) []quarantine.CrashReport {
	for i := range crashes {
		crashes[i].Age = 0
	}
	return crashes
}
