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

// slot is a slot of the back end that is given back once.
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
		own := now.Sub(s.started) - s.call.Execution.Waited(now)
		s.admitter.controller.Done(now, s.ticket, admission.Outcome{Own: max(own, 0), Refused: refused, Counted: counted})
	})
}

// noteEnd records whether the back end failed the request by itself. One that the
// caller gave up says nothing.
func (s *slot) noteEnd(failed bool) {
	if s.call.Context.Err() == nil {
		s.admitter.faults.learn(time.Now(), failed)
	}
}

// run passes the call on and gives the slot back when the answer has been
// read.
func (a *admitter) run(next kernel.Handler, call *kernel.Call, ticket *admission.Ticket) (*kernel.Answer, error) {
	taken := &slot{admitter: a, call: call, ticket: ticket, started: time.Now()}
	call.ReleaseSlot = func() { taken.release(false, false) }
	answer, err := next.Handle(call)
	if err != nil {
		taken.release(false, result.From(err).Code == result.DeadlineExceeded)
		if isFault(err) {
			a.faults.learn(time.Now(), true)
		}
		return nil, err
	}
	// A back end that refuses answers fast; that time says nothing about it.
	refused := answer.StatusCode == http.StatusServiceUnavailable || answer.StatusCode == http.StatusTooManyRequests
	answer.Body = &slotBody{ReadCloser: answer.Body, slot: taken, refused: refused, failed: isOwnFailure(call, answer)}
	return answer, nil
}

// slotBody gives the slot back at the end of the body.
type slotBody struct {
	io.ReadCloser
	slot    *slot
	refused bool
	failed  bool // the answer tells of a failure of the back end itself
	ended   bool
}

// Read implements io.Reader.
func (b *slotBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if err != nil && !b.ended {
		b.ended = true
		whole := err == io.EOF
		b.slot.release(b.refused, whole)
		b.slot.noteEnd(b.failed || !whole)
	}
	return n, err
}

// Close implements io.Closer.
func (b *slotBody) Close() error {
	b.slot.release(b.refused, false)
	return b.ReadCloser.Close()
}
