package configsync

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/spread"
	"github.com/loomcleat/loomcleat/wire"
)

// maximumRequestDoublings bounds how often the pause between two requests doubles.
const maximumRequestDoublings = 5

// keepConfirmed asks the processes that watch the store for their revisions, one at a time, while what
// this process knows is too old. It stays with one that answers, and pauses for longer with each one
// that does not: the store is read all the same. It runs until ctx is done.
func (s *synchronizer) keepConfirmed(ctx context.Context) {
	next, failures := rand.IntN(s.process.Settings.StoreWatches+1), 0
	for ctx.Err() == nil {
		kernel.Pause(ctx, min(s.timing.CheckInterval<<failures, s.timing.ReadAge))
		if !s.isOlderThan(s.timing.RequestAge) && !s.proofOlderThan(peerProofShare) {
			continue
		}
		watchers := s.otherWatchers()
		if len(watchers) == 0 {
			continue
		}
		if s.requestRevisions(ctx, watchers[next%len(watchers)]) {
			failures = 0
			continue
		}
		next++
		failures = min(failures+1, maximumRequestDoublings)
	}
}

// requestRevisions asks one peer for its revisions. It reports whether they show that the policy of
// this process, or a newer one, was the newest one recently.
func (s *synchronizer) requestRevisions(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, s.timing.PeerTimeout)
	defer cancel()
	var revisions wire.Revisions
	requestedAt := clock.Now().Time()
	if err := s.process.Control.Invoke(ctx, address, http.MethodGet, wire.PathRevisions, nil, &revisions); err != nil {
		return false // The next peer is asked. Refusals because of an old proof are logged.
	}
	s.ObservePeerRevisions(address, revisions, requestedAt)
	return revisions.Age > 0 && revisions.Age <= s.timing.ReadAge.Milliseconds()
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
