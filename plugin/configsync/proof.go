package configsync

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/spread"
	"github.com/loomcleat/loomcleat/wire"
)

// provenByPeer takes the proof of a peer that this process asked for. A policy that is
// newer than the peer's was written later, so that the proof holds for it as well.
func (s *synchronizer) provenByPeer(revisions wire.Revisions, asked time.Time) {
	if asked.IsZero() || revisions.ProvenAge == 0 || revisions.Policy > s.documents[wire.DocumentPolicy].revision.Load() {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.proof.Record(asked.Add(-time.Duration(revisions.ProvenAge) * time.Millisecond))
}

// PolicyProof implements kernel.Documents.
func (s *synchronizer) PolicyProof(now time.Time) (age time.Duration, known bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.proof.Age(now)
}

// Where keys must stop working soon after they were revoked, a process renews the proof of
// its policy before the revocation time is over: first from the processes that watch the
// store, which costs the store nothing, then from the store. The rest of the time is for
// attempts that fail.
const (
	// peerProofShare is the age, as a share of the revocation time, at which it asks peers.
	peerProofShare = 0.6
	// storeProofShare is the age, as such a share, at which it reads the store.
	storeProofShare = 0.75
	// proofTick is the time between two checks of the age.
	proofTick = 250 * time.Millisecond
	// proofTimeout bounds the question to one peer.
	proofTimeout = 300 * time.Millisecond
)

// proofIsOld reports whether the proof of the policy is older than a share of the time
// after which keys must not be trusted by it.
func (s *synchronizer) proofIsOld(share float64) bool {
	revocation := s.process.Settings.KeyRevocation.Std()
	if revocation == 0 || !s.process.Policy.Load().Tenants().Required() {
		return false
	}
	age, known := s.PolicyProof(clock.Now().Time())
	return !known || age > time.Duration(share*float64(revocation))
}

// seekProof asks processes that watch the store for their proof, one after the other,
// while that of this process is old.
func (s *synchronizer) seekProof(ctx context.Context) {
	for turn := 0; ctx.Err() == nil; {
		kernel.Pause(ctx, proofTick)
		if !s.proofIsOld(peerProofShare) {
			continue
		}
		watchers := s.otherWatchers()
		if len(watchers) == 0 {
			continue
		}
		s.askForProof(ctx, watchers[turn%len(watchers)])
		turn++
	}
}

func (s *synchronizer) askForProof(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, proofTimeout)
	defer cancel()
	var revisions wire.Revisions
	asked := clock.Now().Time()
	if err := s.process.Control.Invoke(ctx, address, http.MethodGet, wire.PathRevisions, nil, &revisions); err != nil {
		return // another one is asked next; what follows from an old proof is logged with each refusal
	}
	s.Heard(address, revisions, asked)
}

// otherWatchers returns the control addresses of the other processes that watch the
// store.
func (s *synchronizer) otherWatchers() []string {
	members := *s.process.Members.Load()
	addresses := []string{}
	watchers := spread.Watchers(kernel.LiveIDs(members), s.process.Settings.StoreWatches)
	for _, member := range members {
		if member.ID != s.process.ID && slices.Contains(watchers, member.ID) {
			addresses = append(addresses, member.Control)
		}
	}
	return addresses
}
