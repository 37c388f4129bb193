package configsync

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/kernel"
	_ "github.com/loomcleat/loomcleat/plugin/membership"
	"github.com/loomcleat/loomcleat/policy"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/settings"
	"github.com/loomcleat/loomcleat/store"
	"github.com/loomcleat/loomcleat/wire"
)

// hangingStore is a store that never answers a wait. Reads fail while it is down.
type hangingStore struct {
	mutex    sync.Mutex
	down     bool
	revision uint64
}

func (s *hangingStore) set(down bool, revision uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down, s.revision = down, revision
}

func (s *hangingStore) Get(context.Context, string) (store.Entry, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down {
		return store.Entry{}, result.New(result.StoreUnavailable, "down")
	}
	document := policy.Document{Revision: s.revision}
	data, err := document.Encode()
	return store.Entry{Value: data, Index: s.revision, Exists: true, WatchPosition: s.revision}, err
}

func (s *hangingStore) Watch(ctx context.Context, _ string, _ uint64, _ time.Duration) (store.Entry, error) {
	<-ctx.Done()
	return store.Entry{}, result.Wrap(result.StoreUnavailable, ctx.Err(), "no answer")
}

func (s *hangingStore) CompareAndSwap(context.Context, string, []byte, uint64) (bool, error) {
	return false, result.New(result.StoreUnavailable, "read only")
}

func (s *hangingStore) AcquireLease(context.Context, string, string, time.Duration) (store.Lease, bool, error) {
	return nil, false, result.New(result.StoreUnavailable, "read only")
}

func gatewaySettings() settings.Settings {
	s := settings.Default(settings.RoleGateway)
	s.Listen, s.Control, s.Claims = "127.0.0.1:0", "127.0.0.1:0", false
	return s
}

// newProcess returns a process that has not been started.
func newProcess(t *testing.T, s settings.Settings, documents store.Store) *kernel.Process {
	t.Helper()
	process, err := kernel.New(kernel.Options{Settings: s, Log: event.Discard(), Store: documents})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(process.Kill)
	return process
}

// startWatcher starts a process and returns a watcher of its policy that the test steps.
func startWatcher(t *testing.T, documents store.Store) *watcher {
	t.Helper()
	process := newProcess(t, gatewaySettings(), documents)
	go func() { _ = process.Start(t.Context()) }()
	synchronizer, ok := process.Documents.(*synchronizer)
	is.New(t).True(ok)
	return &watcher{synchronizer: synchronizer, document: synchronizer.documents[wire.DocumentPolicy]}
}

// TestUnchangedEntryDecodedOnce guards against decoding a document again although the store
// returned the same entry.
func TestUnchangedEntryDecodedOnce(t *testing.T) {
	is := is.New(t)
	stub := &hangingStore{revision: 5}
	w := startWatcher(t, stub)
	decoded := 0
	w.document = &document{
		name: wire.DocumentPolicy,
		revisionOf: func(data []byte) (uint64, error) {
			decoded++
			return policyRevision(data)
		},
	}
	for range 5 {
		w.position = 0 // Read at once.
		is.NoErr(w.step(t.Context()))
	}
	is.Equal(decoded, 1)
	stub.set(false, 6)
	w.position = 0
	is.NoErr(w.step(t.Context()))
	is.Equal(decoded, 2)
}

// TestPeerConfirmsAbsence guards against a process that reads the store although a peer has
// confirmed that no policy exists yet.
func TestPeerConfirmsAbsence(t *testing.T) {
	is := is.New(t)
	s := gatewaySettings()
	s.PolicyRequired, s.StoreWatches = true, 0
	process := newProcess(t, s, &hangingStore{})
	synchronizer, ok := process.Documents.(*synchronizer)
	is.True(ok)
	w := &watcher{synchronizer: synchronizer, document: synchronizer.documents[wire.DocumentPolicy]}
	is.True(w.shouldWatch()) // No peer has confirmed the policy yet.
	synchronizer.ObservePeerRevisions("peer", wire.Revisions{Age: 5}, time.Time{})
	is.True(w.shouldWatch()) // The message may have been on its way for any time.
	synchronizer.ObservePeerRevisions("peer", wire.Revisions{Age: 5}, clock.Now().Time())
	is.True(!w.shouldWatch())
	synchronizer.ObservePeerRevisions("peer", wire.Revisions{Age: 5, Policy: 7}, time.Time{})
	is.True(!process.Ready()) // Revision 7 has not been fetched.
}

// TestUnansweredWaits guards against missing a change because the store never answers waits,
// also after the store was down.
func TestUnansweredWaits(t *testing.T) {
	stub := &hangingStore{revision: 5}
	process := newProcess(t, gatewaySettings(), stub)
	go func() { _ = process.Start(t.Context()) }()

	await := func(revision uint64) {
		for process.Documents.Revisions().Policy != revision {
			select {
			case <-time.After(time.Millisecond):
			case <-t.Context().Done():
				t.Fatalf("revision %d was not adopted", revision)
			}
		}
	}
	await(5)
	stub.set(false, 6)
	await(6)
	stub.set(true, 7)
	time.Sleep(watchWait)
	stub.set(false, 8)
	await(8)
}
