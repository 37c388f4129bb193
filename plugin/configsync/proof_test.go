package configsync

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/wire"
)

// TestAProofIsNotToldWithAnOlderPolicy: when a newer policy is proven while the revisions
// are put together, a peer must not take that proof for the older one.
func TestAProofIsNotToldWithAnOlderPolicy(t *testing.T) {
	is := is.New(t)
	process := newProcess(t, gatewaySettings(), &silentStore{})
	s, ok := process.Documents.(*synchronizer)
	is.True(ok)
	policy := s.documents[wire.DocumentPolicy]
	policy.revision.Store(5)
	s.proof.Record(time.Now().Add(-time.Hour))

	s.mutex.Lock()
	told := make(chan wire.Revisions)
	go func() { told <- s.Revisions() }()
	time.Sleep(50 * time.Millisecond) // it waits for the proof by now
	policy.revision.Store(6)
	s.proof.Record(time.Now())
	s.mutex.Unlock()

	got := <-told
	isNew := got.ProvenAge < time.Minute.Milliseconds()
	is.True(!isNew || got.Policy == 6)
}

// TestWhatIsToldUnaskedProvesNothing: a peer's message may have been on its way for long, so
// that only what this process asked for counts, from when it asked.
func TestWhatIsToldUnaskedProvesNothing(t *testing.T) {
	is := is.New(t)
	process := newProcess(t, gatewaySettings(), &silentStore{})
	revisions := wire.Revisions{Age: 5, ProvenAge: 2000}
	now := clock.Now().Time()
	process.Documents.Heard("peer", revisions, time.Time{})
	_, known := process.Documents.PolicyProof(now)
	is.True(!known)
	process.Documents.Heard("peer", revisions, now.Add(-time.Second))
	age, known := process.Documents.PolicyProof(now)
	is.True(known)
	is.Equal(age, 3*time.Second)
}
