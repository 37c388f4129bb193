package configsync

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/store"
	"github.com/loomcleat/loomcleat/wire"
)

// TestOlderCopyProvesNothing guards against trusting keys because a store that was restored from an
// older copy has been read: it lacks changes, and so perhaps one that takes a key away.
func TestOlderCopyProvesNothing(t *testing.T) {
	is := is.New(t)
	stub := &hangingStore{revision: 8}
	w := startWatcher(t, stub)
	is.NoErr(w.step(t.Context()))
	before := clock.Now().Time()
	stub.set(false, 7)
	w.position = 0
	is.NoErr(w.step(t.Context()))
	now := clock.Now().Time()
	age, known := w.synchronizer.PolicyProof(now)
	is.True(known && age >= now.Sub(before)) // the proof is that of the first read
	is.Equal(w.synchronizer.Revisions().Policy, uint64(8))
}

// TestIndexOfEarlierEraIsOfferedAgain guards against a changed document that is taken for the known one
// because its index was given out again.
func TestIndexOfEarlierEraIsOfferedAgain(t *testing.T) {
	is := is.New(t)
	stub := &hangingStore{revision: 8}
	w := startWatcher(t, stub)
	is.NoErr(w.step(t.Context()))
	stub.set(false, 9)
	changed, err := stub.Get(t.Context(), "")
	is.NoErr(err)
	changed.Index, changed.Era = w.offeredIndex, w.offeredEra+1
	is.NoErr(w.offerEntry(t.Context(), changed))
	is.Equal(w.synchronizer.Revisions().Policy, uint64(9))
}

// countingRegistry counts registrations.
type countingRegistry struct {
	registered atomic.Int64
	era        atomic.Uint64
}

func (r *countingRegistry) Register(context.Context, store.Machine) error {
	r.registered.Add(1)
	return nil
}

func (r *countingRegistry) Deregister(context.Context, string) error { return nil }

func (r *countingRegistry) Era() store.Era { return store.Era(r.era.Load()) }

// TestRegistersAgainAfterRestore guards against processes that nobody finds any more because the
// registry lost their entries, also where a process learns of it from a peer only.
func TestRegistersAgainAfterRestore(t *testing.T) {
	is := is.New(t)
	registry := &countingRegistry{}
	registry.era.Store(1)
	process, err := kernel.New(kernel.Options{Settings: gatewaySettings(), Log: event.Discard(), Registry: registry})
	is.NoErr(err)
	t.Cleanup(process.Kill)
	go func() { _ = process.Start(t.Context()) }()
	await := func(count int64) {
		for registry.registered.Load() < count {
			select {
			case <-time.After(time.Millisecond):
			case <-t.Context().Done():
				t.Fatalf("registered %d times, want %d", registry.registered.Load(), count)
			}
		}
	}
	await(1)
	for process.StoreEra() == 0 {
		time.Sleep(time.Millisecond)
	}
	process.Documents.ObservePeerRevisions("peer", wire.Revisions{StoreEra: 1}, time.Time{})
	time.Sleep(20 * time.Millisecond)
	is.Equal(registry.registered.Load(), int64(1))
	registry.era.Store(2)
	process.Documents.ObservePeerRevisions("peer", wire.Revisions{StoreEra: 2}, time.Time{})
	await(2)
	is.Equal(process.StoreEra(), store.Era(2))
}
