package admission

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/loomcleat/loomcleat/admission"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/result"
)

// admitter admits the requests of one node.
type admitter struct {
	process    *kernel.Process
	controller *admission.Controller
	faults     faults
	overloaded atomic.Bool
}

func (a *admitter) middleware(next kernel.Handler) kernel.Handler {
	return kernel.HandlerFunc(func(call *kernel.Call) (*kernel.Answer, error) {
		a.setBounds(call)
		asked := time.Now()
		ticket, err := a.wait(call)
		call.Execution.NotePressure(admission.WaitPressure(time.Since(asked), call.Policy.QueueTime, err != nil))
		if err != nil {
			return nil, err
		}
		return a.run(next, call, ticket)
	})
}

// setBounds passes the settings of the service to the controller. A back end that tells
// its slots needs no search for the limit.
func (a *admitter) setBounds(call *kernel.Call) {
	minimum, maximum := call.Policy.ConcurrencyMin, call.Policy.ConcurrencyMax
	if slots := a.slots(); slots > 0 {
		minimum, maximum = slots, slots
	}
	a.controller.SetBounds(minimum, maximum, call.Policy.QueueTime)
}

// slots is the number of the back end's slots that are used, 0 when it does not tell its
// slots.
func (a *admitter) slots() int {
	if a.process.BackEnd == nil {
		return 0
	}
	return admission.UsableSlots(a.process.BackEnd.State().Slots)
}

// wait waits for a slot.
func (a *admitter) wait(call *kernel.Call) (*admission.Ticket, error) {
	verdicts := make(chan admission.Verdict, 1)
	request := admission.Request{
		Priority:  call.Priority,
		Deadline:  time.Now().Add(call.Deadline.Left()), // by the clock that measures work
		Committed: call.Committed(),
		Patience:  admission.PatienceOf(call.Policy.TargetLatency),
	}
	ticket := a.controller.Ask(time.Now(), request, func(verdict admission.Verdict) { verdicts <- verdict })
	select {
	case verdict := <-verdicts:
		return ticket, refusal(verdict)
	default:
		return a.waitQueued(call, ticket, verdicts)
	}
}

// waitQueued waits for the verdict on a request in the queue. The controller has no clock:
// it is told when a request has waited enough. A committed one may wait as long as it has
// time, and is ended by its context.
func (a *admitter) waitQueued(call *kernel.Call, ticket *admission.Ticket, verdicts <-chan admission.Verdict) (*admission.Ticket, error) {
	waited := time.NewTimer(call.Policy.QueueTime)
	defer waited.Stop()
	if ticket.Committed {
		waited.Stop()
	}
	for {
		select {
		case verdict := <-verdicts:
			return ticket, refusal(verdict)
		case <-waited.C:
			a.controller.Expire(time.Now())
			waited.Reset(expireAgain)
		case <-call.Context.Done():
			return nil, a.withdraw(call, ticket, verdicts)
		}
	}
}

// expireAgain is the time until the controller is told again: a request may wait longer
// than the queue time of its policy (admission.Request.Patience).
const expireAgain = 10 * time.Millisecond

// withdraw gives up waiting. The slot may have become free at the same moment.
func (a *admitter) withdraw(call *kernel.Call, ticket *admission.Ticket, verdicts <-chan admission.Verdict) error {
	if !a.controller.Withdraw(ticket) && <-verdicts == admission.Admitted {
		a.controller.Done(time.Now(), ticket, admission.Outcome{})
	}
	if context.Cause(call.Context) == context.DeadlineExceeded {
		return result.New(result.DeadlineTooShort, "the deadline passed while waiting for a place")
	}
	return result.New(result.CallerGone, "the caller went away while waiting for a place")
}

func refusal(verdict admission.Verdict) error {
	switch verdict {
	case admission.Admitted:
		return nil
	case admission.TooLate:
		return result.New(result.DeadlineTooShort, "the back end would not answer within the time left")
	case admission.BelowLevel:
		return result.New(result.Overloaded, "the priority is below the admission level").WithUsualRetryAfter()
	default:
		return result.New(result.Overloaded, "no place became free in time").WithUsualRetryAfter()
	}
}
