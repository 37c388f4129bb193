package once

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/loomcleat/loomcleat/claims"
	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/wire"
)

// once is the at-most-once part of one process. The replica is owned by the
// control loop.
type once struct {
	process *kernel.Process
	self    claims.Process
	replica *claims.Replica
	held    atomic.Int64 // claims of the replica
	groups  atomic.Pointer[claims.Groups]
	runs    *runs
	wake    chan struct{}
}

// Times of claiming.
const (
	claimTimeout   = 400 * time.Millisecond  // for the reply of one replica
	claimPatience  = 1500 * time.Millisecond // for a claim in all, while the group changes
	claimRounds    = 2                       // without a majority, while it does not change
	claimBackoff   = 20 * time.Millisecond
	outcomeTimeout = time.Second // for one question to a runner
)

// middleware claims calls that may not be repeated.
func (o *once) middleware(next kernel.Handler) kernel.Handler {
	return kernel.HandlerFunc(func(call *kernel.Call) (*kernel.Answer, error) {
		if call.Policy.Repeatable {
			return next.Handle(call)
		}
		if call.ClaimKey == (claims.Key{}) {
			return nil, result.New(result.BadRequest, "a request that may not be repeated needs a key")
		}
		return o.handle(next, call)
	})
}

// handle runs a call at most once.
func (o *once) handle(next kernel.Handler, call *kernel.Call) (*kernel.Answer, error) {
	for {
		current, fresh := o.runs.begin(clock.Now().Time(), call.ClaimKey, call.Fingerprint)
		if !fresh {
			again, answer, err := o.joinLocal(call, current)
			if again {
				continue
			}
			return answer, err
		}
		return o.runFresh(next, call, current)
	}
}

// joinLocal waits for a run of the same key in this process. It reports again
// when that run ended without having run.
func (o *once) joinLocal(call *kernel.Call, current *run) (again bool, answer *kernel.Answer, err error) {
	if current.fingerprint != call.Fingerprint {
		return false, nil, keyReused()
	}
	call.ReleaseSlot()
	select {
	case <-current.done:
	case <-call.Context.Done():
		return false, nil, uncertain("the first run of the request has not ended")
	}
	state, stored := current.outcome()
	if state == wire.RunNeverRan {
		return true, nil, nil
	}
	answer, err = replay(stored)
	return false, answer, err
}

// runFresh claims the key and runs the call.
func (o *once) runFresh(next kernel.Handler, call *kernel.Call, current *run) (*kernel.Answer, error) {
	won, err := o.claim(call, current)
	if err != nil || !won.granted {
		current.end(wire.RunNeverRan, nil)
		o.runs.forget(current)
		if err != nil {
			return nil, err
		}
		return replay(won.answer)
	}
	if clock.Now().Sub(won.asked) > o.process.Settings.ClaimRetention.Std()/2 {
		o.abandon(won.group, current)
		return nil, result.New(result.ClaimUnavailable, "the claim became too old before the request could run").WithUsualRetryAfter()
	}
	return o.runClaimed(next, call, current, won.group)
}

// runClaimed hands the call to the back end. A caller that goes away does not
// cancel it.
func (o *once) runClaimed(next kernel.Handler, call *kernel.Call, current *run, group int) (*kernel.Answer, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(call.Context), call.Deadline.Left())
	call.Context = ctx
	answer, err := next.Handle(call)
	if err != nil {
		cancel()
		if result.From(err).NotRun() {
			o.abandon(group, current)
			return nil, err
		}
		current.end(wire.RunFinished, nil)
		o.process.Log.Emit(event.ClaimOutcomeUncertain, "key", call.ClaimKey.String(), "error", err)
		return nil, err
	}
	answer.Body = newCapture(answer.Response, func(stored *claims.Answer) {
		cancel()
		current.end(wire.RunFinished, stored)
		if stored != nil {
			o.process.Go(func() { o.publish(group, current, stored) })
		}
	})
	return answer, nil
}

// abandon gives up a run that was claimed and has not run.
func (o *once) abandon(group int, current *run) {
	id := current.ID()
	current.end(wire.RunNeverRan, nil)
	o.runs.forget(current)
	o.process.Go(func() { o.withdraw(group, current.key, id) })
}

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

// claim asks for the key until it is decided.
func (o *once) claim(call *kernel.Call, current *run) (claimed, error) {
	progress := claimProgress{}
	giveUp := min(clock.Now().Add(claimPatience), call.Deadline)
	for {
		outcome, err := o.claimOnce(call, current, &progress)
		if err != nil || outcome != nil {
			if err != nil {
				return claimed{}, err
			}
			return *outcome, nil
		}
		if progress.hopeless >= claimRounds || giveUp.Left() < 0 || call.Context.Err() != nil {
			return claimed{}, unavailable()
		}
		kernel.Pause(call.Context, claimBackoff+rand.N(claimBackoff))
	}
}

func unavailable() error {
	return result.New(result.ClaimUnavailable, "no majority of the claim replicas could be had").WithUsualRetryAfter()
}

func keyReused() error {
	return result.New(result.KeyReused, "the Idempotency-Key was used for a request with another body")
}

func uncertain(message string) error {
	return result.New(result.AlreadyClaimed, "%s; it was not run again", message)
}

// claimOnce makes one round. It returns nil without an error when another round
// may decide.
func (o *once) claimOnce(call *kernel.Call, current *run, progress *claimProgress) (*claimed, error) {
	document := o.groups.Load()
	if document == nil || len(document.Groups) == 0 {
		return nil, nil
	}
	index := call.ClaimKey.GroupIndex(len(document.Groups))
	id := uuid.NewString()
	current.setID(id)
	claim := claims.Claim{Key: call.ClaimKey, Fingerprint: call.Fingerprint, Run: id, Runner: o.self, Abandoned: progress.abandoned}
	asked := clock.Now()
	round := o.askReplicas(call.Context, index, document.Groups[index], claim)
	if round.Decision() == claims.Won {
		return &claimed{granted: true, group: index, asked: asked}, nil
	}
	progress.abandoned = append(progress.abandoned, id)
	if round.Decision() == claims.Unavailable && !round.Changing() {
		progress.hopeless++
	} else {
		progress.hopeless = 0
	}
	o.process.Go(func() { o.withdraw(index, call.ClaimKey, id) })
	if round.Decision() != claims.Lost {
		return nil, nil
	}
	call.ReleaseSlot()
	holder, answer := round.Holder()
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
