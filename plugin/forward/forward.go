package forward

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/wire"
)

// forwarder sends calls to the back end of one node. If the back end sends heartbeats, plug-in
// instance owns its health, and down and draining are unused.
type forwarder struct {
	process     *kernel.Process
	transmitter *kernel.Transmitter
	// Whether the back end refuses connections.
	down atomic.Bool
	// Whether the back end reports on its health path that it is draining.
	draining  atomic.Bool
	announced announcement
}

// handle sends the call to the back end.
func (f *forwarder) handle(call *kernel.Call) (*kernel.Answer, error) {
	call.Header.Set(wire.HeaderToken, call.Execution.Token)
	expected, err := f.expectIncarnation(call)
	if err != nil {
		return nil, err
	}
	left := call.Deadline.Left()
	if left <= 0 {
		return nil, result.New(result.DeadlineTooShort, "the time of the request ran out while it was on its way to the back end")
	}
	f.process.Dialect.WriteRemaining(call.Header, left)
	f.process.Counters.BackEndRequests.Add(1)
	sentAt := time.Now()
	response, err := f.send(call)
	if err != nil {
		if result.From(err).Code == result.BackendUnreachable {
			f.recordUnreachable()
		}
		return nil, err
	}
	f.recordReachable()
	if err := f.checkRequestID(call, response); err != nil {
		_ = response.Body.Close() // unread, which also closes the connection
		return nil, err
	}
	f.recordDeclarations(response, sentAt, expected)
	if err := f.checkAnswer(call, response, expected); err != nil {
		discardRefusal(response)
		return nil, err
	}
	f.recordLoad(response.Header)
	// Internal headers of the back end don't count: it may pass on the refusal of a call that it
	// made, although it ran the request itself.
	wire.RemoveInternal(response.Header)
	return &kernel.Answer{Response: response}, nil
}

// send sends the call. If the back end may have received it before, a late second copy of the
// answer to that attempt has the same request ID as this one. Therefore no connection carries
// two attempts of one call.
func (f *forwarder) send(call *kernel.Call) (*http.Response, error) {
	address := f.process.Settings.Backend
	if call.Resent {
		return f.transmitter.SendOnNewConnection(call.Context, call, address, call.Header)
	}
	return f.transmitter.Send(call.Context, call, address, call.Header)
}

// recordLoad records the load that the back end reports in an answer.
func (f *forwarder) recordLoad(header http.Header) {
	if f.process.Dialect.ReadLoad == nil {
		return
	}
	load, err := f.process.Dialect.ReadLoad(header)
	if err != nil {
		f.process.Counters.InvalidLoads.Add(1)
		f.process.Log.Emit(event.LoadNotUnderstood, "backend", f.process.Settings.Backend, "error", err)
		return
	}
	if load != nil {
		f.process.BackEndLoad.Store(&kernel.ReportedLoad{BackEndLoad: *load, At: time.Now()})
	}
}

// expectIncarnation sets the incarnation of the back end that may run the call and returns it, ""
// if the back end sends no heartbeats. It checks the state again because the back end may have
// left while the call waited for a slot.
func (f *forwarder) expectIncarnation(call *kernel.Call) (incarnation string, err error) {
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
	call.Incarnation = state.Incarnation()
	return call.Incarnation, nil
}

// checkRequestID returns an error if the response answers another request. The answer to a request
// without an ID has none.
func (f *forwarder) checkRequestID(call *kernel.Call, response *http.Response) error {
	dialect := &f.process.Dialect
	answered := response.Header.Get(dialect.RequestID)
	if !dialect.HasRequestID() || answered == call.RequestID {
		return nil
	}
	f.process.Log.Emit(event.AnswerMismatch, "backend", f.process.Settings.Backend, "request", call.RequestID, "answered", answered)
	return result.New(result.AnswerMismatch, "the back end answered another request")
}

// checkAnswer returns an error if the back end reports that it did not run the call, or if the
// response answers another execution.
func (f *forwarder) checkAnswer(call *kernel.Call, response *http.Response, expected string) error {
	dialect := &f.process.Dialect
	if !dialect.IsNotRun(response) {
		return f.checkToken(call, response)
	}
	if response.StatusCode == http.StatusMisdirectedRequest && f.process.BackEnd != nil {
		f.process.BackEnd.ObserveReplacement(expected, response.Header.Get(dialect.Instance))
	}
	return result.New(result.BackendRefused, "the back end refused with status %d", response.StatusCode).WithUsualRetryAfter()
}

// discardRefusal ends the exchange of a refusal. Its connection can be used again unless the
// refusal has a body, which might be long.
func discardRefusal(response *http.Response) {
	if response.ContentLength == 0 {
		_, _ = io.Copy(io.Discard, response.Body) // an error closes the connection
	}
	_ = response.Body.Close()
}

// checkToken returns an error if the response carries the token of another execution. Back ends
// need not return the token.
func (f *forwarder) checkToken(call *kernel.Call, response *http.Response) error {
	echo := response.Header.Get(wire.HeaderToken)
	if echo == "" || echo == call.Execution.Token {
		return nil
	}
	f.process.Log.Emit(event.AnswerMismatch, "backend", f.process.Settings.Backend)
	return result.New(result.AnswerMismatch, "the back end answered another request")
}
