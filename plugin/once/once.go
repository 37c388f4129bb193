package once

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/loomcleat/loomcleat/claims"
	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/wire"
)

// once is the state of the plug-in in one process. The replica is owned by the control loop.
type once struct {
	process *kernel.Process
	self    claims.Process
	replica *claims.Replica
	// Number of claims in the replica, for readers outside the control loop.
	held atomic.Int64
	// The groups document in force, nil before the first one.
	groups atomic.Pointer[claims.Groups]
	runs   *runs
	// Wakes collectClaims.
	wake chan struct{}
}

// Bounds of a claim.
const (
	// claimTimeout bounds the request to one replica.
	claimTimeout = 400 * time.Millisecond
	// maximumClaimTime is the time after which a claim starts no further round.
	maximumClaimTime = 1500 * time.Millisecond
	// maximumUnavailableRounds is the number of consecutive rounds without enough replies
	// after which a claim fails. A round in which the group changes resets the count.
	maximumUnavailableRounds = 2
	// claimBackoff is the minimum pause between two rounds, and the pause between two
	// requests for the outcome of a run.
	claimBackoff = 20 * time.Millisecond
	// outcomeTimeout bounds one request for the outcome of a run.
	outcomeTimeout = time.Second
)

// middleware claims the key of each call that may not be repeated before the call runs.
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

// handle runs a call at most once. A call whose key already has a run in this process waits
// for that run.
func (o *once) handle(next kernel.Handler, call *kernel.Call) (*kernel.Answer, error) {
	for {
		current, isNew := o.runs.begin(clock.Now().Time(), call.ClaimKey, call.Fingerprint)
		if !isNew {
			retry, answer, err := o.joinLocal(call, current)
			if retry {
				continue
			}
			return answer, err
		}
		return o.runNew(next, call, current)
	}
}

// joinLocal waits for a run of the same key in this process and returns its stored answer.
// It sets retry if that run never reached the back end, so that the call may claim the key.
func (o *once) joinLocal(call *kernel.Call, current *run) (retry bool, answer *kernel.Answer, err error) {
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
	if state == wire.RunAbandoned {
		return true, nil, nil
	}
	answer, err = replay(stored)
	return false, answer, err
}

// runNew claims the key of a call and runs the call, or returns the answer of an earlier
// run elsewhere.
func (o *once) runNew(next kernel.Handler, call *kernel.Call, current *run) (*kernel.Answer, error) {
	outcome, err := o.claim(call, current)
	if err != nil || !outcome.granted {
		current.finish(wire.RunAbandoned, nil)
		o.runs.remove(current)
		if err != nil {
			return nil, err
		}
		return replay(outcome.answer)
	}
	if clock.Now().Sub(outcome.requestedAt) > o.process.Settings.ClaimRetention.Std()/2 {
		o.abandon(outcome.group, current)
		return nil, result.New(result.ClaimUnavailable, "the claim became too old before the request could run").WithUsualRetryAfter()
	}
	return o.runClaimed(next, call, current, outcome.group)
}

// runClaimed passes the call on to the back end. It is not cancelled when the caller
// disconnects, only at its deadline or when the process stops, so that its outcome can be stored.
func (o *once) runClaimed(next kernel.Handler, call *kernel.Call, current *run, group int) (*kernel.Answer, error) {
	ctx, cancel := o.process.CallContext(context.WithoutCancel(call.Context), call.Deadline)
	call.Context = ctx
	answer, err := next.Handle(call)
	if err != nil {
		cancel()
		if result.From(err).NotRun() {
			o.abandon(group, current)
			return nil, err
		}
		current.finish(wire.RunFinished, nil)
		o.process.Log.Emit(event.ClaimOutcomeUncertain, "key", call.ClaimKey.String(), "error", err)
		return nil, err
	}
	answer.Body = newCapture(answer.Response, func(stored *claims.Answer) {
		cancel()
		current.finish(wire.RunFinished, stored)
		if stored != nil {
			o.process.Go(func() { o.publish(group, current, stored) })
		}
	})
	return answer, nil
}

// abandon withdraws the claim of a run that did not reach the back end.
func (o *once) abandon(group int, current *run) {
	id := current.ID()
	current.finish(wire.RunAbandoned, nil)
	o.runs.remove(current)
	o.process.Go(func() { o.withdraw(group, current.key, id) })
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
