package forward

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/wire"
)

// forward is the way to one back end.
type forward struct {
	process     *kernel.Process
	transmitter *kernel.Transmitter
	down        atomic.Bool // it refuses connections; only where it sends no heartbeats
	draining    atomic.Bool // it says so on its health path
}

// handle sends the call to the back end.
func (f *forward) handle(call *kernel.Call) (*kernel.Answer, error) {
	call.Header.Set(wire.HeaderContext, call.Execution.Token)
	expected, err := f.expect(call)
	if err != nil {
		return nil, err
	}
	left := call.Deadline.Left()
	if left <= 0 {
		return nil, result.New(result.DeadlineTooShort, "the time of the request ran out while it was on its way to the back end")
	}
	f.process.Dialect.WriteRemaining(call.Header, left)
	response, err := f.transmitter.Send(call.Context, call, f.process.Settings.Backend, call.Header)
	if err != nil {
		if result.From(err).Code == result.BackendUnreachable {
			f.unreachable()
		}
		return nil, err
	}
	f.reachable()
	if err := f.checkAnswer(call, response, expected); err != nil {
		_ = response.Body.Close() // unread, so that the connection is closed
		return nil, err
	}
	f.noteLoad(response.Header)
	// What a back end says about outcomes inside the mesh does not count: it
	// may pass on the refusal of a call of its own, and it did run itself.
	wire.RemoveInternal(response.Header)
	return &kernel.Answer{Response: response}, nil
}

// noteLoad takes what the back end tells of its load.
func (f *forward) noteLoad(header http.Header) {
	if f.process.Dialect.ReadLoad == nil {
		return
	}
	load, err := f.process.Dialect.ReadLoad(header)
	if err != nil {
		f.process.Counters.LoadsNotUnderstood.Add(1)
		f.process.Log.Emit(event.LoadNotUnderstood, "backend", f.process.Settings.Backend, "error", err)
		return
	}
	if load != nil {
		f.process.BackEndLoad.Store(&kernel.ReportedLoad{BackEndLoad: *load, At: time.Now()})
	}
}

// expect names the incarnation that may run the call. It is looked up once more
// here, since the back end may have left while the call waited for a slot.
func (f *forward) expect(call *kernel.Call) (instance string, err error) {
	if f.process.BackEnd == nil {
		return "", nil
	}
	state := f.process.BackEnd.State()
	if !state.Open(clock.Now().Time()) {
		return "", result.New(result.BackendLeft, "the back end %q left while the request waited", state.ID)
	}
	if header := f.process.Dialect.ExpectInstance; header != "" {
		call.Header.Set(header, state.ID)
	}
	call.Instance = state.ID
	return state.ID, nil
}

// checkAnswer returns an error for an answer that is not one to the call, and
// for a promise of the back end that it did not run it.
func (f *forward) checkAnswer(call *kernel.Call, response *http.Response, expected string) error {
	dialect := &f.process.Dialect
	if dialect.HasRequestID() && call.RequestID != "" && response.Header.Get(dialect.RequestID) != call.RequestID {
		f.process.Log.Emit(event.AnswerMismatch, "backend", f.process.Settings.Backend, "request", call.RequestID,
			"answered", response.Header.Get(dialect.RequestID))
		return result.New(result.AnswerMismatch, "the back end answered another request")
	}
	if !dialect.IsNotRun(response) {
		return f.checkContext(call, response)
	}
	if response.StatusCode == http.StatusMisdirectedRequest && f.process.BackEnd != nil {
		f.process.BackEnd.Found(expected, response.Header.Get(dialect.Instance))
	}
	return result.New(result.BackendRefused, "the back end refused with status %d", response.StatusCode).WithUsualRetryAfter()
}

// checkContext returns an error for an answer that carries the context of another
// request. A back end need not carry it back.
func (f *forward) checkContext(call *kernel.Call, response *http.Response) error {
	echo := response.Header.Get(wire.HeaderContext)
	if echo == "" || echo == call.Execution.Token {
		return nil
	}
	f.process.Log.Emit(event.AnswerMismatch, "backend", f.process.Settings.Backend)
	return result.New(result.AnswerMismatch, "the back end answered another request")
}
