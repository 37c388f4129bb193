package once

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/loomcleat/loomcleat/claims"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/wire"
)

// askReplicas requests a claim from all replicas of a group in parallel and returns as soon
// as the round is decided.
func (o *once) askReplicas(ctx context.Context, index int, group claims.Group, claim claims.Claim) *claims.Round {
	round := claims.NewRound(group)
	type answer struct {
		reply claims.Reply
		err   error
	}
	answers := make(chan answer, len(group.Replicas))
	for _, replica := range group.Replicas {
		go func() {
			reply, err := o.askReplica(ctx, o.voteHolder(replica, index, group.Epoch), wire.ClaimRequest{Group: index, Epoch: group.Epoch, Claim: claim})
			answers <- answer{reply, err}
		}()
	}
	for range group.Replicas {
		got := <-answers
		if got.err != nil {
			round.NoReply()
		} else {
			round.Reply(got.reply)
		}
		if round.Decision() != claims.Pending {
			break
		}
	}
	return round
}

// askReplica requests a claim from one replica. The request is not cancelled with ctx, only
// after claimTimeout.
func (o *once) askReplica(ctx context.Context, replica claims.Process, request wire.ClaimRequest) (claims.Reply, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout)
	defer cancel()
	if replica.ID == o.self.ID {
		return o.askOwnReplica(ctx, request)
	}
	var reply wire.ClaimReply
	err := o.process.Control.Invoke(ctx, replica.Control, http.MethodPost, wire.PathClaim, &request, &reply)
	if err != nil {
		return claims.Reply{}, err
	}
	o.process.Documents.ObservePeerRevisions(replica.Control, wire.Revisions{Groups: reply.Revision}, time.Time{})
	return reply.Reply, nil
}

// askOwnReplica requests a claim from the replica of this process.
func (o *once) askOwnReplica(ctx context.Context, request wire.ClaimRequest) (claims.Reply, error) {
	return kernel.Query(ctx, o.process.Loop, func(now time.Time) claims.Reply {
		return o.replica.RequestClaim(now, request.Group, request.Epoch, request.Claim)
	})
}

// withdraw removes the claim of a run that did not reach the back end from all replicas that
// can be reached. At the others the claim blocks the key until it expires.
func (o *once) withdraw(group int, key claims.Key, id string) {
	o.updateReplicas(group, wire.PathWithdraw, wire.ClaimUpdate{Group: group, Key: key, Run: id})
}

// publish stores the answer of a run at the replicas, so that a repeated request gets it
// even after this process has stopped.
func (o *once) publish(group int, current *run, stored *claims.Answer) {
	o.updateReplicas(group, wire.PathFinish, wire.ClaimUpdate{Group: group, Key: current.key, Run: current.ID(), Answer: stored})
}

// updateReplicas sends a change of a claim to all replicas of its group. Errors are dropped.
func (o *once) updateReplicas(group int, path string, update wire.ClaimUpdate) {
	document := o.groups.Load()
	if document == nil || group >= len(document.Groups) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	var pending sync.WaitGroup
	epoch := document.Groups[group].Epoch
	for _, replica := range document.Groups[group].Replicas {
		replica = o.voteHolder(replica, group, epoch)
		pending.Go(func() {
			if replica.ID == o.self.ID {
				o.process.Loop.Post(func(time.Time) { o.update(path, update) })
				return
			}
			// A replica that can't be reached keeps the claim, without the answer, until it
			// expires. A repeated request may then be refused or get an unknown outcome, but
			// it does not run twice.
			_ = o.process.Control.Invoke(ctx, replica.Control, http.MethodPost, path, &update, &wire.Empty{})
		})
	}
	pending.Wait()
}

// update applies a change to a claim in the replica of this process. It runs on the control
// loop.
func (o *once) update(path string, update wire.ClaimUpdate) {
	if path == wire.PathWithdraw {
		o.replica.Withdraw(update.Group, update.Key, update.Run)
		return
	}
	o.replica.Finish(update.Group, update.Key, update.Run, update.Answer)
}

// serveClaim answers a claim with the vote of this process's replica.
func (o *once) serveClaim(w http.ResponseWriter, r *http.Request) {
	var request wire.ClaimRequest
	if !kernel.ReadJSON(w, r, &request) {
		return
	}
	reply, err := o.askOwnReplica(r.Context(), request)
	if err != nil {
		result.From(err).WriteHTTP(w)
		return
	}
	kernel.WriteJSON(w, wire.ClaimReply{Reply: reply, Revision: o.process.Documents.Revisions().Groups})
}

// serveUpdate returns the handler for changes of claims: withdrawals under wire.PathWithdraw,
// answers to store under wire.PathFinish.
func (o *once) serveUpdate(path string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var update wire.ClaimUpdate
		if !kernel.ReadJSON(w, r, &update) {
			return
		}
		err := o.process.Loop.Do(r.Context(), func(time.Time) { o.update(path, update) })
		if err != nil {
			result.From(err).WriteHTTP(w)
			return
		}
		kernel.WriteJSON(w, wire.Empty{})
	}
}

// serveOutcome reports the state of a run of this process, and its answer if it was stored.
func (o *once) serveOutcome(w http.ResponseWriter, r *http.Request) {
	var request wire.OutcomeRequest
	if !kernel.ReadJSON(w, r, &request) {
		return
	}
	reply := wire.OutcomeReply{State: wire.RunUnknown}
	if request.Runner == o.self.ID {
		reply.State = wire.RunAbandoned // Every run that reached the back end is in the table.
		if known := o.runs.find(request.Key, request.Run); known != nil {
			reply.State, reply.Answer = known.outcome()
		}
	}
	kernel.WriteJSON(w, reply)
}
