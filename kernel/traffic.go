package kernel

import (
	"net/http"
	"time"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/wire"
)

// serve builds a Call from a request, passes it to the chain and writes the answer.
func (p *Process) serve(w http.ResponseWriter, r *http.Request, direction string, chain Handler, build func(*http.Request) (*Call, error)) {
	started := time.Now()
	p.inFlight.Add(1)
	defer p.inFlight.Add(-1)
	defer p.recoverPanic(r)
	upload := newUpload(w, r)
	defer upload.finish()
	var answer *Answer
	call, err := build(r)
	if err == nil {
		var finish func()
		p.limitToStop(call)
		call.Context, finish = p.CallContext(r.Context(), call.Deadline)
		defer finish()
		defer watchPeer(r, finish)()
		if call.Inbound {
			p.executions.add(call.Execution)
			defer p.executions.remove(call.Execution)
		}
		answer, err = chain.Handle(call)
		err = call.Body.causeOf(err)
		recordFailedCall(call, answer, err)
	}
	defer func() { p.Counters.observe(direction, err, time.Since(started)) }()
	err = p.prepareHead(w.Header(), r, call, answer, err)
	upload.prepareHead(w.Header(), err != nil)
	if err != nil {
		p.logFailure(r, call, direction, err, time.Since(started))
		p.withRetryAfter(call, err).WriteHTTP(w)
		return
	}
	defer answer.Body.Close()
	p.logFailureAnswer(call, direction, answer, time.Since(started))
	if writeErr := writeAnswer(w, answer.Response); writeErr != nil {
		p.logBrokenOff(call, direction, writeErr, time.Since(started))
		panic(http.ErrAbortHandler) // closes the connection, so that the answer cannot look complete
	}
}

// limitToStop makes a call that begins in a stopping process end before the process does.
func (p *Process) limitToStop(call *Call) {
	call.Deadline = p.stopDeadline.limit(call.Deadline)
	if call.Inbound {
		call.Execution.Deadline = call.Deadline
	}
}

// prepareHead adds the headers of this process to the head of an answer or of the error err.
// If later requests on the connection have been started, it first buffers the beginning of
// the answer, so that a truncated answer does not close the connection and lose theirs. It
// returns the error to send instead of the answer, or err.
func (p *Process) prepareHead(header http.Header, r *http.Request, call *Call, answer *Answer, err error) error {
	if call != nil && call.Inbound {
		p.addReport(header, call, answer)
		header["Date"] = nil // added by the process that answers the caller
	}
	laterStarted := beginAnswer(r)
	if p.Leaving() && !laterStarted {
		header.Set("Connection", "close")
	}
	if err == nil && laterStarted {
		return prefetchBody(answer.Response)
	}
	return err
}

// recordFailedCall records a failed call of the back end with the execution that made it.
// If that execution fails too, its failure is attributed to the call.
func recordFailedCall(call *Call, answer *Answer, err error) {
	madeByBackEnd := !call.Inbound && call.Execution != nil
	if madeByBackEnd && (err != nil || answer.Failed()) {
		call.Execution.RecordCallFailure()
	}
}

// recoverPanic logs a panic of a handler and aborts the request.
func (p *Process) recoverPanic(r *http.Request) {
	cause := recover()
	if cause == nil {
		return
	}
	if cause != http.ErrAbortHandler {
		p.Log.Emit(event.RequestPanic, "panic", cause)
	}
	resetOnClose(r)
	panic(http.ErrAbortHandler) // closes the connection, so that the answer cannot look complete
}

// checkReady returns a result.NotReady error until the process is ready.
func (p *Process) checkReady() error {
	if p.Ready() {
		return nil
	}
	return result.New(result.NotReady, "the process has not learned the policy yet").WithUsualRetryAfter()
}

// newCall builds a call with the fields that all directions have in common.
func (p *Process) newCall(r *http.Request, to target) (*Call, error) {
	arrived := clock.Now() // a body may take long to arrive
	body, err := newBody(r)
	if err != nil {
		return nil, err
	}
	header := r.Header // not used elsewhere afterwards
	wire.RemoveHopByHop(header)
	call := &Call{
		Service:     to.service,
		Method:      r.Method,
		URL:         r.URL,
		Host:        r.Host,
		Header:      header,
		Arrived:     arrived,
		Body:        body,
		Fingerprint: body.fingerprint(),
		Policy:      to.policy,
		Routed:      to.routed,
	}
	if p.Dialect.HasRequestID() {
		call.RequestID = header.Get(p.Dialect.RequestID)
	}
	return call, nil
}
