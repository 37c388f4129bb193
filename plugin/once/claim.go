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

// claimed is the outcome of a claim.
type claimed struct {
	granted bool
	group   int
	asked   clock.Instant
	answer  *claims.Answer // of the earlier run, when not granted
}

// claimProgress is what the rounds of one claim have led to so far.
type claimProgress struct {
	abandoned []string // runs that are known never to run
	hopeless  int      // rounds in a row in which too few replicas answered
}

// lostRound takes note of a round that a run has not won.
func (p *claimProgress) lostRound(round *claims.Round, run string) {
	p.abandoned = append(p.abandoned, run)
	if round.Decision() == claims.Unavailable && !round.Changing() {
		p.hopeless++
	} else {
		p.hopeless = 0
	}
}

// claim asks for the key until it is decided.
func (o *once) claim(call *kernel.Call, current *run) (claimed, error) {
	progress := claimProgress{}
	giveUp := min(clock.Now().Add(claimPatience), call.Deadline)
	for {
		outcome, err := o.claimOnce(call, current, &progress)
		if err != nil {
			return claimed{}, err
		}
		if outcome != nil {
			return *outcome, nil
		}
		if progress.hopeless >= claimRounds || giveUp.Left() < 0 || call.Context.Err() != nil {
			return claimed{}, unavailable()
		}
		kernel.Pause(call.Context, claimBackoff+rand.N(claimBackoff))
	}
}

// claimOnce makes one round. It returns nil without an error when another round
// may decide.
func (o *once) claimOnce(call *kernel.Call, current *run, progress *claimProgress) (*claimed, error) {
	document := o.groups.Load()
	if document == nil || len(document.Groups) == 0 {
		return nil, nil
	}
	index := call.ClaimKey.GroupIndex(len(document.Groups))
	run := uuid.NewString()
	current.setID(run)
	claim := claims.Claim{Key: call.ClaimKey, Fingerprint: call.Fingerprint, Run: run, Runner: o.self, Abandoned: progress.abandoned}
	asked := clock.Now()
	round := o.askReplicas(call.Context, index, document.Groups[index], claim)
	if round.Decision() == claims.Won {
		return &claimed{granted: true, group: index, asked: asked}, nil
	}
	progress.lostRound(round, run)
	o.process.Go(func() { o.withdraw(index, call.ClaimKey, run) })
	if round.Decision() != claims.Lost {
		return nil, nil
	}
	call.ReleaseSlot()
	return o.learnOutcome(call, round, progress)
}

// learnOutcome finds what became of the run that holds the key. It returns nil without an
// error when that run never ran, so that another round may win the key.
func (o *once) learnOutcome(call *kernel.Call, lost *claims.Round, progress *claimProgress) (*claimed, error) {
	holder, answer := lost.Holder()
	if holder.Fingerprint != call.Fingerprint {
		return nil, keyReused()
	}
	if answer != nil {
		return &claimed{answer: answer}, nil
	}
	outcome, err := o.askRunner(call, *holder)
	if outcome == nil && err == nil {
		progress.abandoned = append(progress.abandoned, holder.Run)
	}
	return outcome, err
}

// askRunner learns from the runner that holds the key what became of its run.
// It returns nil without an error when that run never ran, so that the key will
// become free.
func (o *once) askRunner(call *kernel.Call, holder claims.Claim) (*claimed, error) {
	if holder.Runner.ID == o.self.ID {
		return nil, nil // an earlier round of this process that is being withdrawn
	}
	for call.Context.Err() == nil {
		state, answer, err := o.questionRunner(call.Context, holder)
		switch {
		case err != nil || state == wire.RunUnknown:
			return nil, uncertain("the process that ran the request does not answer for it")
		case state == wire.RunNeverRan:
			return nil, nil
		case state == wire.RunFinished && answer == nil:
			return nil, uncertain("the request was run before and its answer was not kept")
		case state == wire.RunFinished:
			return &claimed{answer: answer}, nil
		}
		kernel.Pause(call.Context, claimBackoff)
	}
	return nil, uncertain("the first run of the request has not ended")
}

func (o *once) questionRunner(ctx context.Context, holder claims.Claim) (wire.RunState, *claims.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, outcomeTimeout)
	defer cancel()
	request := wire.OutcomeRequest{Runner: holder.Runner.ID, Key: holder.Key, Run: holder.Run}
	var reply wire.OutcomeReply
	err := o.process.Control.Invoke(ctx, holder.Runner.Control, http.MethodPost, wire.PathOutcome, &request, &reply)
	return reply.State, reply.Answer, err
}
