package quarantine

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/quarantine"
	"github.com/loomcleat/loomcleat/spread"
	"github.com/loomcleat/loomcleat/store"
	"github.com/loomcleat/loomcleat/wire"
)

// storeKey is the key under which the requests in quarantine lie in the store, as a
// wire.Crashes, for the case that all processes are started anew.
const storeKey = "quarantine"

// Bounds of the use of the store.
const (
	// storeTimeout bounds one read, or one read with the write that follows it.
	storeTimeout = 2 * time.Second
	// storePause is the time between two attempts to reach the store.
	storePause = time.Second
	// discoveryTime is waited for after the start until peers are known: they tell what
	// they know, and only a few processes go to the store.
	discoveryTime = time.Second
)

// keepStored reads what lies in the store, and writes there when a request came into
// quarantine that this node has lost a back end to, so that a restart of all processes does
// not cost the service three more back ends. Each such request costs the store a few calls.
func (p *plugin) keepStored(ctx context.Context) {
	kernel.Pause(ctx, discoveryTime)
	alive := kernel.LiveIDs(*p.process.Members.Load())
	if spread.Watches(p.process.ID, alive, p.process.Settings.StoreWatches) {
		p.persist(ctx, p.load)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.saveDue:
			p.persist(ctx, p.write)
		}
	}
}

// save has what is in quarantine written to the store.
func (p *plugin) save() { kernel.Wake(p.saveDue) }

// persist repeats a step until it is done. The first error is logged.
func (p *plugin) persist(ctx context.Context, step func(context.Context) (bool, error)) {
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
		kernel.Pause(ctx, storePause)
	}
}

// load learns what lies in the store.
func (p *plugin) load(ctx context.Context) (bool, error) {
	_, err := p.read(ctx)
	return err == nil, err
}

// read learns what lies in the store and returns it.
func (p *plugin) read(ctx context.Context) (store.Entry, error) {
	entry, err := p.process.Store.Get(ctx, storeKey)
	if err != nil || !entry.Exists {
		return entry, err
	}
	var stored wire.Crashes
	if err := json.Unmarshal(entry.Value, &stored); err != nil {
		p.process.Log.Emit(event.QuarantineNotStored, "error", err)
		return entry, nil // what can't be read is overwritten by the next write
	}
	p.learn(clock.Now().Time(), stored.Crashes, "store")
	return entry, nil
}

// write puts the requests in quarantine into the store, with those that lie there.
func (p *plugin) write(ctx context.Context) (bool, error) {
	entry, err := p.read(ctx)
	if err != nil {
		return false, err
	}
	p.mutex.Lock()
	crashes := p.ledger.CrashesOfQuarantined(clock.Now().Time())
	p.mutex.Unlock()
	data, err := json.Marshal(wire.Crashes{Crashes: withoutAges(crashes)})
	if err != nil {
		return false, err
	}
	if bytes.Equal(data, entry.Value) {
		return true, nil // another node was faster
	}
	return p.process.Store.CompareAndSwap(ctx, storeKey, data, entry.Index)
}

// withoutAges returns crashes as if they had just been: nobody can tell how long they have
// been in the store. A request in quarantine by them gets its trial as any other.
func withoutAges(crashes []quarantine.Crash) []quarantine.Crash {
	for i := range crashes {
		crashes[i].Age = 0
	}
	return crashes
}
