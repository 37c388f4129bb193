package configsync

import (
	"time"

	"github.com/loomcleat/loomcleat/clock"
)

// PolicyProof implements kernel.Documents.
func (s *synchronizer) PolicyProof(now time.Time) (age time.Duration, known bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.proof.Age(now)
}

// If the settings limit the time until a revoked key stops working, a process renews the
// proof of its policy before that revocation time has passed: first from the processes that
// watch the store, which puts no load on the store, then from the store itself. The remaining
// time allows for failed attempts.
const (
	// peerProofShare is the age of the proof, as a share of the revocation time, above which
	// a newer one is requested from peers.
	peerProofShare = 0.6
	// storeProofShare is the age of the proof, as a share of the revocation time, above which
	// the store is read.
	storeProofShare = 0.75
)

// proofOlderThan reports whether the proof of the policy is missing or older than the given share
// of the revocation time. It is false if keys aren't required or no revocation time is set.
func (s *synchronizer) proofOlderThan(share float64) bool {
	revocation := s.process.Settings.KeyRevocation.Std()
	if revocation == 0 || !s.process.Policy.Load().Tenants().Required() {
		return false
	}
	age, known := s.PolicyProof(clock.Now().Time())
	return !known || age > time.Duration(share*float64(revocation))
}
