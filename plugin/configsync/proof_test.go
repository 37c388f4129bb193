package configsync

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/wire"
)

// TestProofNotSentWithOlderPolicy guards against sending the proof of a newer policy, recorded
// while the revisions are collected, with the revision of the older one.
func TestProofNotSentWithOlderPolicy(t *testing.T) {
	is := is.New(t)
	process := newProcess(t, gatewaySettings(), &hangingStore{})
	s, ok := process.Documents.(*synchronizer)
	is.True(ok)
	policy := s.documents[wire.DocumentPolicy]
	policy.revision.Store(5)
	s.proof.Record(time.Now().Add(-time.Hour))

	s.mutex.Lock()
	received := make(chan wire.Revisions)
	go func() { received <- s.Revisions() }()
	time.Sleep(50 * time.Millisecond) // Revisions is waiting for the mutex by now.
	policy.revision.Store(6)
	s.proof.Record(time.Now())
	s.mutex.Unlock()

	got := <-received
	isNew := got.ProvenAge < time.Minute.Milliseconds()
	is.True(!isNew || got.Policy == 6)
}

// TestUnsolicitedRevisionsProveNothing guards against a proof from a message that was delayed:
// only replies count, from the time of the request.
func TestUnsolicitedRevisionsProveNothing(t *testing.T) {
	is := is.New(t)
	process := newProcess(t, gatewaySettings(), &hangingStore{})
	revisions := wire.Revisions{Age: 5, ProvenAge: 2000}
	now := clock.Now().Time()
	process.Documents.ObservePeerRevisions("peer", revisions, time.Time{})
	_, known := process.Documents.PolicyProof(now)
	is.True(!known)
	process.Documents.ObservePeerRevisions("peer", revisions, now.Add(-time.Second))
	age, known := process.Documents.PolicyProof(now)
	is.True(known)
	is.Equal(age, 3*time.Second)
}
