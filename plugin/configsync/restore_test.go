package configsync

import (
	"testing"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/wire"
)

// TestOlderCopyProvesNothing guards against trusting keys because a store that was restored from an
// older copy has been read: it lacks changes, and so perhaps one that takes a key away.
func TestOlderCopyProvesNothing(t *testing.T) {
	is := is.New(t)
	stub := &hangingStore{revision: 8}
	process := newProcess(t, gatewaySettings(), stub)
	go func() { _ = process.Start(t.Context()) }()
	synchronizer, ok := process.Documents.(*synchronizer)
	is.True(ok)
	w := &watcher{synchronizer: synchronizer, document: synchronizer.documents[wire.DocumentPolicy]}
	is.NoErr(w.step(t.Context()))
	before := clock.Now().Time()
	stub.set(false, 7)
	w.position = 0
	is.NoErr(w.step(t.Context()))
	now := clock.Now().Time()
	age, known := synchronizer.PolicyProof(now)
	is.True(known && age >= now.Sub(before)) // the proof is that of the first read
	is.Equal(synchronizer.Revisions().Policy, uint64(8))
}
