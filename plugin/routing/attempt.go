package routing

import (
	"context"
	"net/http"
	"time"

	"github.com/loomcleat/loomcleat/admission"
	"github.com/loomcleat/loomcleat/balance"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/wire"
)

// attempt sends the call to one node.
func (r *router) attempt(call *kernel.Call, balancer *balance.Balancer, target balance.Target) (*kernel.Answer, error) {
	started := time.Now()
	call.Attempt = r.process.NewIdentity()
	loan := call.Budget.Lend()
	header := r.header(call, loan)
	if call.Execution != nil {
		call.Execution.BeginChild(started)
	}
	ctx, cancel := context.WithCancelCause(call.Context)
	release := r.boundAttempt(call, balancer, target, cancel)
	response, err := r.transmitter.Send(ctx, call, target.Address, header)
	release() // the answer itself may take as long as the deadline allows
	finish := func(outcome balance.Outcome) {
		cancel(nil)
		now := time.Now()
		balancer.Done(now, target.ID, now.Sub(started), outcome)
		if call.Execution != nil {
			call.Execution.EndChild(now)
		}
	}
	if err != nil {
		if result.From(err).NotRun() {
			call.Budget.Repay(loan, loan) // the loan never left this process
		}
		if result.From(err).Code == result.DeadlineExceeded {
			call.NotePressure(admission.TimeoutPressure)
		}
		finish(outcomeOf(call, err))
		return nil, err
	}
	answer, err := r.read(call, balancer, target, response, loan)
	if err != nil {
		finish(outcomeOf(call, err))
		return nil, err
	}
	answer.Body = &attemptBody{ReadCloser: answer.Body, finish: finish, whole: outcomeOfAnswer(answer)}
	return answer, nil
}

// Bounds of the time for one attempt of a call that can be sent again.
const (
	attemptLatencies   = 8                      // times the usual latency
	minimumAttemptTime = 500 * time.Millisecond // at least
	claimedAttemptTime = 2 * time.Second        // at least, for a call that may not be repeated
)

// boundAttempt ends one attempt of a call that can be sent again when its answer
// does not begin in time, so that a node that hangs leaves time for another. A
// call that may not be repeated goes on at its node; the next attempt finds its
// claim and waits for its answer. The bound holds until release is called.
//
// Where all processes share a retry budget, there may be none left for the next
// attempt, and what the back end has worked would be lost: silence is no reason to
// end an attempt there. Connections that are cut end by themselves.
func (r *router) boundAttempt(call *kernel.Call, balancer *balance.Balancer, target balance.Target, cancel context.CancelCauseFunc) (release func()) {
	sharedBudget := r.process.Settings.RetryBudget.Window > 0
	if sharedBudget || !call.Body.Replayable() || call.Budget.Left() == 0 || balancer.Size() < 2 {
		return func() {} // the deadline bounds it
	}
	least := minimumAttemptTime
	if !call.Policy.Repeatable {
		least = claimedAttemptTime
	}
	limit := min(call.Deadline.Left(), max(attemptLatencies*balancer.Latency(target.ID), least))
	timer := time.AfterFunc(limit, func() { cancel(context.DeadlineExceeded) })
	return func() { timer.Stop() }
}

// header builds the headers of an attempt.
func (r *router) header(call *kernel.Call, loan int) http.Header {
	told := wire.CallContext{
		Service:   call.Service,
		Request:   call.Request,
		Attempt:   call.Attempt,
		Priority:  call.Priority,
		Remaining: call.Deadline.Left(),
		Budget:    loan,
		Hops:      call.Hops,
		Target:    call.Policy.TargetLatency,
		Repeat:    call.Repeat,
	}
	r.process.WriteContext(call, &told)
	header := call.Header.Clone()
	delete(header, r.process.Dialect.Remaining) // the node sets it anew for its back end
	told.Write(header)
	return header
}
