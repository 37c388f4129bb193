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

// askReplicas asks all replicas of a group for a claim and returns once the
// round is decided.
func (o *once) askReplicas(ctx context.Context, index int, group claims.Group, claim claims.Claim) *claims.Round {
	round := claims.NewRound(group)
	type answer struct {
		reply claims.Reply
		err   error
	}
	answers := make(chan answer, len(group.Replicas))
	for _, replica := range group.Replicas {
		go func() {
			reply, err := o.askReplica(ctx, o.holder(replica, index, group.Epoch), wire.ClaimRequest{Group: index, Epoch: group.Epoch, Claim: claim})
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

func (o *once) askReplica(ctx context.Context, replica claims.Process, request wire.ClaimRequest) (claims.Reply, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout)
	defer cancel()
	if replica.ID == o.self.ID {
		return o.ask(ctx, request)
	}
	var reply wire.ClaimReply
	err := o.process.Control.Invoke(ctx, replica.Control, http.MethodPost, wire.PathClaim, &request, &reply)
	if err != nil {
		return claims.Reply{}, err
	}
	o.process.Documents.Heard(replica.Control, wire.Revisions{Groups: reply.Revision}, time.Time{})
	return reply.Reply, nil
}

// ask asks the replica of this process.
func (o *once) ask(ctx context.Context, request wire.ClaimRequest) (claims.Reply, error) {
	return kernel.Ask(ctx, o.process.Loop, func(now time.Time) claims.Reply {
		return o.replica.Ask(now, request.Group, request.Epoch, request.Claim)
	})
}

// withdraw removes the claim of a run that has not run, as far as the replicas
// can be reached. Where it cannot be removed, the key stays blocked until it
// expires.
func (o *once) withdraw(group int, key claims.Key, id string) {
	o.tellReplicas(group, wire.PathWithdraw, wire.ClaimUpdate{Group: group, Key: key, Run: id})
}

// publish stores the answer of a run at the replicas, so that it can be given
// to a caller that asks again after this process has ended.
func (o *once) publish(group int, current *run, stored *claims.Answer) {
	o.tellReplicas(group, wire.PathFinish, wire.ClaimUpdate{Group: group, Key: current.key, Run: current.ID(), Answer: stored})
}

func (o *once) tellReplicas(group int, path string, update wire.ClaimUpdate) {
	document := o.groups.Load()
	if document == nil || group >= len(document.Groups) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	var waiting sync.WaitGroup
	epoch := document.Groups[group].Epoch
	for _, replica := range document.Groups[group].Replicas {
		replica = o.holder(replica, group, epoch)
		waiting.Go(func() {
			if replica.ID == o.self.ID {
				o.process.Loop.Post(func(time.Time) { o.update(path, update) })
				return
			}
			// A replica that does not hear of it keeps the claim, without the answer, until it
			// expires: the request is refused or its outcome is unknown, but it runs once.
			_ = o.process.Control.Invoke(ctx, replica.Control, http.MethodPost, path, &update, &wire.Empty{})
		})
	}
	waiting.Wait()
}

// update changes a claim in the replica of this process, on the control loop.
func (o *once) update(path string, update wire.ClaimUpdate) {
	if path == wire.PathWithdraw {
		o.replica.Withdraw(update.Group, update.Key, update.Run)
		return
	}
	o.replica.Finish(update.Group, update.Key, update.Run, update.Answer)
}

func (o *once) serveClaim(w http.ResponseWriter, r *http.Request) {
	var request wire.ClaimRequest
	if !kernel.ReadJSON(w, r, &request) {
		return
	}
	reply, err := o.ask(r.Context(), request)
	if err != nil {
		result.From(err).WriteHTTP(w)
		return
	}
	kernel.WriteJSON(w, wire.ClaimReply{Reply: reply, Revision: o.process.Documents.Revisions().Groups})
}

// serveUpdate returns the handler of withdrawals, or of answers to be stored, by the path.
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

// serveOutcome tells what became of a run of this process.
func (o *once) serveOutcome(w http.ResponseWriter, r *http.Request) {
	var request wire.OutcomeRequest
	if !kernel.ReadJSON(w, r, &request) {
		return
	}
	reply := wire.OutcomeReply{State: wire.RunUnknown}
	if request.Runner == o.self.ID {
		reply.State = wire.RunNeverRan // every run that went on is in the table
		if known := o.runs.find(request.Key, request.Run); known != nil {
			reply.State, reply.Answer = known.outcome()
		}
	}
	kernel.WriteJSON(w, reply)
}
