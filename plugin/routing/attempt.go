package routing

import (
	"context"
	"net/http"
	"time"

	"github.com/loomcleat/loomcleat/admission"
	"github.com/loomcleat/loomcleat/balance"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/retry"
	"github.com/loomcleat/loomcleat/wire"
)

// attempt is one attempt of a call, sent to one node.
type attempt struct {
	router   *router
	call     *kernel.Call
	balancer *balance.Balancer
	target   balance.Target
	started  time.Time
	// Retries delegated to the node.
	delegated int
	cancel    context.CancelCauseFunc
}

// attempt sends the call to one node.
func (r *router) attempt(call *kernel.Call, balancer *balance.Balancer, target balance.Target) (*kernel.Answer, error) {
	a := &attempt{router: r, call: call, balancer: balancer, target: target, started: time.Now()}
	response, err := a.send()
	if err != nil {
		a.recordUnanswered(result.From(err))
		a.end(outcomeOf(call, err))
		return nil, err
	}
	answer, err := a.read(response)
	if err != nil {
		a.end(outcomeOf(call, err))
		return nil, err
	}
	answer.Body = &attemptBody{ReadCloser: answer.Body, end: a.end, completeOutcome: outcomeOfAnswer(answer)}
	return answer, nil
}

// send sends the call and waits for the header of the answer.
func (a *attempt) send() (*http.Response, error) {
	a.call.Attempt = a.router.process.NewIdentity()
	a.delegated = a.call.Budget.Delegate()
	header := a.header()
	if a.call.Execution != nil {
		a.call.Execution.BeginChild(a.started)
	}
	ctx, cancel := context.WithCancelCause(a.call.Context)
	a.cancel = cancel
	stopTimeout := a.startTimeout()
	defer stopTimeout() // the body may take as long as the deadline allows
	return a.router.transmitter.Send(ctx, a.call, a.target.Address, header)
}

// startTimeout starts a timer that ends the attempt if its answer does not begin in time
// (retry.Timeout). stop stops the timer.
func (a *attempt) startTimeout() (stop func()) {
	call := a.call
	limit, bounded := retry.Timeout(retry.Attempt{
		Repeatable:   call.Policy.Repeatable,
		Retriable:    a.retriable(),
		SharedBudget: a.router.process.Settings.RetryBudget.Window > 0,
		Latency:      a.balancer.Latency(a.target.ID),
		Left:         call.Deadline.Left(),
	})
	if !bounded {
		return func() {}
	}
	timer := time.AfterFunc(limit, func() { a.cancel(context.DeadlineExceeded) })
	return func() { timer.Stop() }
}

// retriable reports whether another attempt could follow one that ends without an answer.
func (a *attempt) retriable() bool {
	call := a.call
	mayRunTwice := call.Policy.Repeatable || a.router.process.Settings.Claims
	return mayRunTwice && call.Body.Replayable() && call.Budget.Left() > 0 && a.balancer.Size() >= 2
}

// recordUnanswered records the end of an attempt that got no answer.
func (a *attempt) recordUnanswered(err *result.Error) {
	if err.NotRun() {
		a.call.Budget.ReturnUnused(a.delegated, a.delegated) // the node never received them
	}
	if err.Code == result.DeadlineExceeded {
		a.call.RecordPressure(admission.TimeoutPressure)
	}
}

// end ends the attempt and reports its outcome to the balancer.
func (a *attempt) end(outcome balance.Outcome) {
	a.cancel(nil)
	now := time.Now()
	a.balancer.Done(now, a.target.ID, now.Sub(a.started), outcome)
	if a.call.Execution != nil {
		a.call.Execution.EndChild(now)
	}
}

// header returns the header of the attempt: that of the call with the call context.
func (a *attempt) header() http.Header {
	call, process := a.call, a.router.process
	callContext := wire.CallContext{
		Service:        call.Service,
		Request:        call.UserRequest,
		Attempt:        call.Attempt,
		Priority:       call.Priority,
		Remaining:      call.Deadline.Left(),
		RetryAllowance: a.delegated,
		Hops:           call.Hops,
		TargetLatency:  call.Policy.TargetLatency,
		IsRetry:        call.IsRetry,
		Resent:         call.Resent,
	}
	process.WriteContext(call, &callContext)
	header := call.Header.Clone()
	delete(header, process.Dialect.Remaining) // the node sets its own value for the back end
	callContext.Write(header)
	if declared, known := a.router.memory.Lookup(time.Now(), a.target.Address); known {
		wire.WriteDeclared(header, declared)
	}
	return header
}
