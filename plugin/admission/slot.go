package admission

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/loomcleat/loomcleat/admission"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/result"
)

// slot is a slot of the back end that is in use. It is released at most once.
type slot struct {
	admitter *admitter
	call     *kernel.Call
	ticket   *admission.Ticket
	started  time.Time
	once     sync.Once
}

func (s *slot) release(refused, counted bool) {
	s.once.Do(func() {
		now := time.Now()
		serviceTime := now.Sub(s.started) - s.call.Execution.Waited(now)
		s.admitter.controller.Done(now, s.ticket, admission.Outcome{OwnTime: max(serviceTime, 0), Refused: refused, Counted: counted})
		s.admitter.advanceLater()
	})
}

// recordOutcome records whether the request failed because of the back end itself. It ignores
// requests that the caller gave up.
func (s *slot) recordOutcome(failed bool) {
	if s.call.Context.Err() == nil {
		s.admitter.faults.record(time.Now(), failed)
	}
}

// run passes the call on and releases the slot when the answer has been read.
func (a *admitter) run(next kernel.Handler, call *kernel.Call, ticket *admission.Ticket) (*kernel.Answer, error) {
	held := &slot{admitter: a, call: call, ticket: ticket, started: time.Now()}
	call.ReleaseSlot = func() { held.release(false, false) }
	answer, err := next.Handle(call)
	if err != nil {
		held.release(false, result.From(err).Code == result.DeadlineExceeded)
		if isFault(err) {
			a.faults.record(time.Now(), true)
		}
		return nil, err
	}
	// A refusal comes fast, so its time must not count as the back end's service time.
	refused := answer.StatusCode == http.StatusServiceUnavailable || answer.StatusCode == http.StatusTooManyRequests
	answer.Body = &slotBody{ReadCloser: answer.Body, slot: held, refused: refused, failed: isOwnFailure(call, answer)}
	return answer, nil
}

// slotBody releases the slot at the end of the body.
type slotBody struct {
	io.ReadCloser
	slot    *slot
	refused bool
	// Whether the answer reports a failure of the back end itself.
	failed bool
	ended  bool
}

func (b *slotBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if err != nil && !b.ended {
		b.ended = true
		complete := err == io.EOF
		b.slot.release(b.refused, complete)
		b.slot.recordOutcome(b.failed || !complete)
	}
	return n, err
}

func (b *slotBody) Close() error {
	b.slot.release(b.refused, false)
	return b.ReadCloser.Close()
}
