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

// collectInterval is the time between two tries to collect claims.
const collectInterval = 100 * time.Millisecond

// wakeCollector makes collectClaims look at once.
func (o *once) wakeCollector() { kernel.Wake(o.wake) }

// collectClaims collects the claims of groups in which this process is a new
// replica, until it votes there.
func (o *once) collectClaims(ctx context.Context) {
	for {
		fetches, err := kernel.Ask(ctx, o.process.Loop, func(time.Time) []claims.Fetch { return o.replica.Fetches() })
		if err != nil {
			return // the process ends
		}
		o.fetchAll(ctx, fetches)
		if len(fetches) > 0 {
			kernel.Pause(ctx, collectInterval)
			continue
		}
		select {
		case <-o.wake: // a new epoch
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
		return // never: the document was decoded from JSON
	}
	var waiting sync.WaitGroup
	for _, fetch := range fetches {
		waiting.Go(func() { o.fetch(ctx, fetch, document) })
	}
	waiting.Wait()
}

// handOverTimeout bounds the transfer of the claims of one group.
const handOverTimeout = 2 * time.Second

func (o *once) fetch(ctx context.Context, fetch claims.Fetch, document []byte) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	request := wire.HandOverRequest{Group: fetch.Group, Epoch: fetch.Epoch, Document: document}
	var reply wire.HandOverReply
	source := o.holder(fetch.From, fetch.Group, fetch.Epoch-1)
	err := o.process.Control.Invoke(ctx, source.Control, http.MethodPost, wire.PathHandOver, &request, &reply)
	if err != nil || !reply.OK {
		return // it is fetched again, or another replica's claims make the majority
	}
	// It fails when the process ends, or when the loop was busy for so long that the claims
	// are fetched again.
	_ = o.process.Loop.Do(ctx, func(now time.Time) {
		if o.replica.TakeOver(now, fetch, reply.Claims) {
			o.process.Log.Emit(event.ClaimGroupSynced, "group", fetch.Group, "epoch", fetch.Epoch)
		}
	})
}

// serveHandOver gives the claims of a group to a replica of a new epoch. This
// process learns that epoch first, and with that is fenced.
func (o *once) serveHandOver(w http.ResponseWriter, r *http.Request) {
	var request wire.HandOverRequest
	if !kernel.ReadJSON(w, r, &request) {
		return
	}
	if err := o.process.Documents.Offer(r.Context(), wire.DocumentGroups, request.Document); err != nil {
		result.From(err).WriteHTTP(w)
		return
	}
	reply, err := kernel.Ask(r.Context(), o.process.Loop, func(now time.Time) wire.HandOverReply {
		handed, ok := o.replica.HandOver(now, request.Group, request.Epoch)
		return wire.HandOverReply{OK: ok, Claims: handed}
	})
	if err != nil {
		result.From(err).WriteHTTP(w)
		return
	}
	kernel.WriteJSON(w, reply)
}

// serveClaimStatus tells in which groups this process votes.
func (o *once) serveClaimStatus(w http.ResponseWriter, r *http.Request) {
	status, err := o.status(r.Context())
	if err != nil {
		result.From(err).WriteHTTP(w)
		return
	}
	kernel.WriteJSON(w, status)
}

func (o *once) status(ctx context.Context) (wire.ClaimStatus, error) {
	return kernel.Ask(ctx, o.process.Loop, func(time.Time) wire.ClaimStatus {
		status := wire.ClaimStatus{Revision: o.replica.Revision()}
		for i := range o.replica.Groups() {
			if o.replica.Votes(i) {
				status.Voting = append(status.Voting, i)
			}
		}
		return status
	})
}

// voting counts, for each group, the replicas that vote at the epoch of the
// document.
func (o *once) voting(ctx context.Context, document *claims.Groups) []int {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	var mutex sync.Mutex
	var waiting sync.WaitGroup
	counts := make([]int, len(document.Groups))
	for _, replica := range o.holders(document) {
		waiting.Go(func() {
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
	waiting.Wait()
	return counts
}

// holders returns the processes that have votes in any group, each once.
func (o *once) holders(document *claims.Groups) []claims.Process {
	seen := map[string]bool{}
	all := []claims.Process{}
	for i, group := range document.Groups {
		for _, replica := range group.Replicas {
			holder := o.holder(replica, i, group.Epoch)
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

// leaveGroups waits until this process, which is stopping, is no longer needed
// as a replica. Another process plans the groups without it.
func (o *once) leaveGroups(ctx context.Context) {
	if len(kernel.LiveIDs(*o.process.Members.Load())) == 0 {
		return // nobody could take over
	}
	deadline := time.Now().Add(replacementPatience)
	for ctx.Err() == nil {
		document := o.groups.Load()
		if document == nil || o.released(ctx, document) {
			return
		}
		if time.Now().After(deadline) { // the store does not answer
			o.handOverVotes(ctx)
			return
		}
		kernel.Pause(ctx, collectInterval)
	}
}

// released reports whether this process has no vote in any group, its own or one that it
// took, and all groups vote without it.
func (o *once) released(ctx context.Context, document *claims.Groups) bool {
	votes, err := kernel.Ask(ctx, o.process.Loop, func(time.Time) []claims.Vote { return o.replica.HeldVotes() })
	if err != nil || len(votes) > 0 {
		return false
	}
	for _, holder := range o.holders(document) {
		if holder.ID == o.self.ID {
			return false
		}
	}
	for group, count := range o.voting(ctx, document) {
		if !document.Groups[group].HasMajority(count) {
			return false
		}
	}
	return true
}
