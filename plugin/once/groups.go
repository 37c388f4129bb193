package once

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/loomcleat/loomcleat/claims"
	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/wire"
)

// collectInterval is the time between two attempts to collect claims.
const collectInterval = 100 * time.Millisecond

// wakeCollector makes collectClaims check for missing claims at once.
func (o *once) wakeCollector() { kernel.Wake(o.wake) }

// collectClaims fetches, for each group in which this process is a new replica, the claims
// of the previous epoch, until this process votes in the group. It runs until ctx is done.
func (o *once) collectClaims(ctx context.Context) {
	for {
		fetches, err := kernel.Query(ctx, o.process.Loop, func(time.Time) []claims.Fetch { return o.replica.Fetches() })
		if err != nil {
			return // The process is stopping.
		}
		o.fetchAll(ctx, fetches)
		if len(fetches) > 0 {
			kernel.Pause(ctx, collectInterval)
			continue
		}
		select {
		case <-o.wake: // A new document was adopted.
		case <-ctx.Done():
			return
		}
	}
}

func (o *once) fetchAll(ctx context.Context, fetches []claims.Fetch) {
	if len(fetches) == 0 {
		return
	}
	document, err := o.groups.Load().Encode()
	if err != nil {
		return // Unreachable: the document was decoded from JSON.
	}
	var pending sync.WaitGroup
	for _, fetch := range fetches {
		pending.Go(func() { o.fetch(ctx, fetch, document) })
	}
	pending.Wait()
}

// handOverTimeout bounds one transfer of the claims of a group.
const handOverTimeout = 2 * time.Second

// fetch fetches the claims of a group from one replica of the previous epoch.
func (o *once) fetch(ctx context.Context, fetch claims.Fetch, document []byte) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	request := wire.HandOverRequest{Group: fetch.Group, Epoch: fetch.Epoch, Document: document}
	var reply wire.HandOverReply
	source := o.voteHolder(fetch.From, fetch.Group, fetch.Epoch-1)
	err := o.process.Control.Invoke(ctx, source.Control, http.MethodPost, wire.PathHandOver, &request, &reply)
	if err != nil || !reply.OK {
		return // Fetched again, unless the claims of other replicas make a majority.
	}
	// An error is dropped: either the process is stopping, or the control loop was busy past
	// the timeout and the claims are fetched again.
	_ = o.process.Loop.Do(ctx, func(now time.Time) {
		if o.replica.TakeOver(now, fetch, reply.Claims) {
			o.process.Log.Emit(event.ClaimGroupSynced, "group", fetch.Group, "epoch", fetch.Epoch)
		}
	})
}

// serveHandOver sends the claims of a group to a replica of a new epoch. This process first
// adopts the document of that epoch, which fences it off from granting claims in the old one.
func (o *once) serveHandOver(w http.ResponseWriter, r *http.Request) {
	var request wire.HandOverRequest
	if !kernel.ReadJSON(w, r, &request) {
		return
	}
	if err := o.process.Documents.Offer(r.Context(), wire.DocumentGroups, request.Document); err != nil {
		result.From(err).WriteHTTP(w)
		return
	}
	reply, err := kernel.Query(r.Context(), o.process.Loop, func(now time.Time) wire.HandOverReply {
		handed, ok := o.replica.HandOver(now, request.Group, request.Epoch)
		return wire.HandOverReply{OK: ok, Claims: handed}
	})
	if err != nil {
		result.From(err).WriteHTTP(w)
		return
	}
	kernel.WriteJSON(w, reply)
}

// serveClaimStatus reports in which groups this process votes.
func (o *once) serveClaimStatus(w http.ResponseWriter, r *http.Request) {
	status, err := o.status(r.Context())
	if err != nil {
		result.From(err).WriteHTTP(w)
		return
	}
	kernel.WriteJSON(w, status)
}

func (o *once) status(ctx context.Context) (wire.ClaimStatus, error) {
	return kernel.Query(ctx, o.process.Loop, func(time.Time) wire.ClaimStatus {
		status := wire.ClaimStatus{Revision: o.replica.Revision()}
		for i := range o.replica.GroupCount() {
			if o.replica.IsVoter(i) {
				status.Voting = append(status.Voting, i)
			}
		}
		return status
	})
}

// countVoters returns, by group index, the number of replicas that vote at the revision of the
// document. Processes that don't answer within claimTimeout are not counted.
func (o *once) countVoters(ctx context.Context, document *claims.Groups) []int {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	var mutex sync.Mutex
	var pending sync.WaitGroup
	counts := make([]int, len(document.Groups))
	for _, replica := range o.voteHolders(document) {
		pending.Go(func() {
			status, err := o.statusOf(ctx, replica)
			if err != nil || status.Revision != document.Revision {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			for _, group := range status.Voting {
				if group < len(counts) {
					counts[group]++
				}
			}
		})
	}
	pending.Wait()
	return counts
}

// voteHolders returns the processes that hold a vote in any group, without duplicates.
func (o *once) voteHolders(document *claims.Groups) []claims.Process {
	seen := map[string]bool{}
	all := []claims.Process{}
	for i, group := range document.Groups {
		for _, replica := range group.Replicas {
			holder := o.voteHolder(replica, i, group.Epoch)
			if !seen[holder.ID] {
				seen[holder.ID] = true
				all = append(all, holder)
			}
		}
	}
	return all
}

func (o *once) statusOf(ctx context.Context, replica claims.Process) (wire.ClaimStatus, error) {
	if replica.ID == o.self.ID {
		return o.status(ctx)
	}
	var status wire.ClaimStatus
	err := o.process.Control.Invoke(ctx, replica.Control, http.MethodGet, wire.PathClaimStatus, nil, &status)
	return status, err
}

// leaveGroups waits until this process, which is stopping, is no longer needed as a replica
// because another process has planned the groups without it. If that takes longer than
// replacementTimeout, it transfers its votes itself.
func (o *once) leaveGroups(ctx context.Context) {
	if len(kernel.LiveIDs(*o.process.Members.Load())) == 0 {
		return // No other process could take over.
	}
	deadline := time.Now().Add(replacementTimeout)
	for ctx.Err() == nil {
		document := o.groups.Load()
		if document == nil || o.released(ctx, document) {
			return
		}
		if time.Now().After(deadline) { // The store may be unreachable.
			o.handOverVotes(ctx)
			return
		}
		kernel.Pause(ctx, collectInterval)
	}
}

// released reports whether this process holds no vote, neither its own nor one taken over,
// and every group has a voting majority without it.
func (o *once) released(ctx context.Context, document *claims.Groups) bool {
	votes, err := kernel.Query(ctx, o.process.Loop, func(time.Time) []claims.Vote { return o.replica.HeldVotes() })
	if err != nil || len(votes) > 0 {
		return false
	}
	for _, holder := range o.voteHolders(document) {
		if holder.ID == o.self.ID {
			return false
		}
	}
	for group, count := range o.countVoters(ctx, document) {
		if !document.Groups[group].HasMajority(count) {
			return false
		}
	}
	return true
}
