package admission

import (
	"sync/atomic"
	"time"

	"github.com/loomcleat/loomcleat/admission"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/result"
)

// admitter admits requests to the back end of one node.
type admitter struct {
	process    *kernel.Process
	controller *admission.Controller
	faults     faults
	overloaded atomic.Bool
	// A timer will call the controller when the rate limit has room for a queued request.
	advancePending atomic.Bool
}

func (a *admitter) middleware(next kernel.Handler) kernel.Handler {
	return kernel.HandlerFunc(func(call *kernel.Call) (*kernel.Answer, error) {
		a.setBounds(call)
		a.recallRateLimit(call)
		queuedAt := time.Now()
		ticket, err := a.wait(call)
		if !ticket.AwaitedRate() {
			call.Execution.RecordPressure(admission.WaitPressure(time.Since(queuedAt), call.Policy.QueueTime, err != nil))
		}
		if err != nil {
			return nil, err
		}
		return a.run(next, call, ticket)
	})
}

// setBounds passes the policy of the service to the controller. A back end that reports its
// slots fixes the limit; otherwise the controller adapts the limit within the bounds.
func (a *admitter) setBounds(call *kernel.Call) {
	minimum, maximum := call.Policy.ConcurrencyMin, call.Policy.ConcurrencyMax
	if slots := a.usableSlots(); slots > 0 {
		minimum, maximum = slots, slots
	}
	a.controller.SetBounds(minimum, maximum, call.Policy.QueueTime)
}

// recallRateLimit applies a rate limit that this node reported to the sender of the call before it
// was restarted.
func (a *admitter) recallRateLimit(call *kernel.Call) {
	if call.Declared.Limit != nil {
		a.process.RateLimit.Recall(time.Now(), call.Declared.Incarnation, *call.Declared.Limit)
	}
}

// usableSlots returns how many of the back end's slots may be used, 0 if the back end does not
// report its slots.
func (a *admitter) usableSlots() int {
	if a.process.BackEnd == nil {
		return 0
	}
	return admission.UsableSlots(a.process.BackEnd.State().Slots)
}

// wait returns when the call has a slot or is refused.
func (a *admitter) wait(call *kernel.Call) (*admission.Ticket, error) {
	verdicts := make(chan admission.Verdict, 1)
	request := admission.Request{
		Priority: call.Priority,
		// The controller works by the monotonic clock of time.Now, unlike call.Deadline.
		Deadline:         time.Now().Add(call.Deadline.Left()),
		HasUpstreamWork:  call.HasUpstreamWork(),
		MaximumQueueTime: admission.MaximumQueueTime(call.Policy.TargetLatency),
	}
	ticket := a.controller.Submit(time.Now(), request, func(verdict admission.Verdict) { verdicts <- verdict })
	a.advanceLater()
	select {
	case verdict := <-verdicts:
		return ticket, a.verdictError(verdict)
	default:
		return a.waitQueued(call, ticket, verdicts)
	}
}

// waitQueued waits for the verdict on a queued request. The controller has no clock, so it is
// called when requests may have exceeded their maximum queue time. A request that has upstream
// work may wait until its deadline, which its context enforces.
func (a *admitter) waitQueued(call *kernel.Call, ticket *admission.Ticket, verdicts <-chan admission.Verdict) (*admission.Ticket, error) {
	timer := time.NewTimer(call.Policy.QueueTime)
	defer timer.Stop()
	if ticket.HasUpstreamWork {
		timer.Stop()
	}
	for {
		select {
		case verdict := <-verdicts:
			return ticket, a.verdictError(verdict)
		case <-timer.C:
			a.controller.Advance(time.Now())
			timer.Reset(expireInterval)
		case <-call.Context.Done():
			return ticket, a.withdraw(call, ticket, verdicts)
		}
	}
}

// expireInterval is the time between two calls of Advance for a request that waits longer than
// the queue time of its policy (admission.Request.MaximumQueueTime).
const expireInterval = 10 * time.Millisecond

// withdraw removes a request from the queue. If the request was admitted at the same moment, it
// releases the slot.
func (a *admitter) withdraw(call *kernel.Call, ticket *admission.Ticket, verdicts <-chan admission.Verdict) error {
	if !a.controller.Withdraw(ticket) && <-verdicts == admission.Admitted {
		a.controller.Done(time.Now(), ticket, admission.Outcome{})
		a.advanceLater()
	}
	return call.Unsent("a place", nil)
}

// advanceLater makes sure that the controller is called when the rate limit of the back end has
// room for a queued request.
func (a *admitter) advanceLater() {
	wait := a.controller.RateWait(time.Now())
	if wait == 0 || a.advancePending.Swap(true) {
		return
	}
	time.AfterFunc(wait, func() {
		a.advancePending.Store(false)
		a.controller.Advance(time.Now())
		a.advanceLater()
	})
}

func (a *admitter) verdictError(verdict admission.Verdict) error {
	switch verdict {
	case admission.Admitted:
		return nil
	case admission.TooLate:
		return result.New(result.DeadlineTooShort, "the back end would not answer within the time left")
	case admission.RateLimited:
		wait := a.controller.RateRetryAfter(time.Now())
		return result.New(result.RateLimited, "the back end takes no more requests a second").WithRetryAfter(wait)
	case admission.BelowLevel:
		return result.New(result.Overloaded, "the priority is below the admission level").WithUsualRetryAfter()
	default:
		return result.New(result.Overloaded, "no place became free in time").WithUsualRetryAfter()
	}
}
