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

func unavailable() error {
	return result.New(result.ClaimUnavailable, "no majority of the claim replicas could be had").WithUsualRetryAfter()
}

func keyReused() error {
	return result.New(result.KeyReused, "the Idempotency-Key was used for a request with another body")
}

func uncertain(message string) error {
	return result.New(result.AlreadyClaimed, "%s; it was not run again", message)
}
