package once

import (
	"context"
	"math/rand/v2"
	"net/http"

	"github.com/google/uuid"

	"github.com/loomcleat/loomcleat/claims"
	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/wire"
)

// claimResult is the outcome of a claim.
type claimResult struct {
	granted bool
	group   int
	// When the round that won the claim began.
	requestedAt clock.Instant
	// The answer of the earlier run, if the claim was not granted.
	answer *claims.Answer
}

// claimProgress is the state that a claim carries from round to round.
type claimProgress struct {
	// Claim ids of runs that will never reach a back end.
	abandoned []string
	// Consecutive rounds in which too few replicas answered.
	unavailableRounds int
}

// recordLostRound records a round that the given run did not win.
func (p *claimProgress) recordLostRound(round *claims.Round, run string) {
	p.abandoned = append(p.abandoned, run)
	if round.Decision() == claims.Unavailable && !round.Changing() {
		p.unavailableRounds++
	} else {
		p.unavailableRounds = 0
	}
}

// claim repeats rounds for the key of a call until the claim is decided. It returns a
// result.ClaimUnavailable error if the replicas don't decide in time.
func (o *once) claim(call *kernel.Call, current *run) (claimResult, error) {
	progress := claimProgress{}
	giveUpAt := min(clock.Now().Add(maximumClaimTime), call.Deadline)
	for {
		outcome, err := o.claimOnce(call, current, &progress)
		if err != nil {
			return claimResult{}, err
		}
		if outcome != nil {
			return *outcome, nil
		}
		if progress.unavailableRounds >= maximumUnavailableRounds || giveUpAt.Left() < 0 || call.Context.Err() != nil {
			return claimResult{}, unavailable()
		}
		kernel.Pause(call.Context, claimBackoff+rand.N(claimBackoff))
	}
}

// claimOnce runs one round of a claim. It returns nil without an error if the claim is
// undecided and another round may decide it.
func (o *once) claimOnce(call *kernel.Call, current *run, progress *claimProgress) (*claimResult, error) {
	document := o.groups.Load()
	if document == nil || len(document.Groups) == 0 {
		return nil, nil
	}
	index := call.ClaimKey.GroupIndex(len(document.Groups))
	run := uuid.NewString()
	current.setID(run)
	claim := claims.Claim{Key: call.ClaimKey, Fingerprint: call.Fingerprint, Run: run, Runner: o.self, Abandoned: progress.abandoned}
	requestedAt := clock.Now()
	round := o.askReplicas(call.Context, index, document.Groups[index], claim)
	if round.Decision() == claims.Won {
		return &claimResult{granted: true, group: index, requestedAt: requestedAt}, nil
	}
	progress.recordLostRound(round, run)
	o.process.Go(func() { o.withdraw(index, call.ClaimKey, run) })
	if round.Decision() != claims.Lost {
		return nil, nil
	}
	call.ReleaseSlot()
	return o.resolveOutcome(call, round, progress)
}

// resolveOutcome determines the outcome of the run that holds the key. It returns nil without
// an error if that run never reached a back end, so that another round may win the key.
func (o *once) resolveOutcome(call *kernel.Call, lost *claims.Round, progress *claimProgress) (*claimResult, error) {
	holder, answer := lost.Holder()
	if holder.Fingerprint != call.Fingerprint {
		return nil, keyReused()
	}
	if answer != nil {
		return &claimResult{answer: answer}, nil
	}
	outcome, err := o.pollRunner(call, *holder)
	if outcome == nil && err == nil {
		progress.abandoned = append(progress.abandoned, holder.Run)
	}
	return outcome, err
}

// pollRunner polls the process whose run holds the key until that run has ended. It returns
// nil without an error if the run never reached a back end, so that the key becomes free.
func (o *once) pollRunner(call *kernel.Call, holder claims.Claim) (*claimResult, error) {
	if holder.Runner.ID == o.self.ID {
		return nil, nil // An earlier round of this process, which is being withdrawn.
	}
	for call.Context.Err() == nil {
		state, answer, err := o.requestOutcome(call.Context, holder)
		switch {
		case err != nil || state == wire.RunUnknown:
			return nil, uncertain("the process that ran the request does not answer for it")
		case state == wire.RunAbandoned:
			return nil, nil
		case state == wire.RunFinished && answer == nil:
			return nil, uncertain("the request was run before and its answer was not kept")
		case state == wire.RunFinished:
			return &claimResult{answer: answer}, nil
		}
		kernel.Pause(call.Context, claimBackoff)
	}
	return nil, uncertain("the first run of the request has not ended")
}

// requestOutcome requests the state of a run from the process that started it.
func (o *once) requestOutcome(ctx context.Context, holder claims.Claim) (wire.RunState, *claims.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, outcomeTimeout)
	defer cancel()
	request := wire.OutcomeRequest{Runner: holder.Runner.ID, Key: holder.Key, Run: holder.Run}
	var reply wire.OutcomeReply
	err := o.process.Control.Invoke(ctx, holder.Runner.Control, http.MethodPost, wire.PathOutcome, &request, &reply)
	return reply.State, reply.Answer, err
}
