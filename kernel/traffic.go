package kernel

import (
	"context"
	"net/http"
	"time"

	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/wire"
)

// serve turns a request into a Call, lets the chain answer it and writes the
// answer.
func (p *Process) serve(w http.ResponseWriter, r *http.Request, direction string, chain Handler, build func(*http.Request) (*Call, error)) {
	started := time.Now()
	p.inFlight.Add(1)
	defer p.inFlight.Add(-1)
	defer p.recoverPanic(w)
	if isStreamed(r) {
		defer streamBothWays(w, r)()
	}
	var answer *Answer
	call, err := build(r)
	if err == nil {
		var cancel context.CancelFunc
		call.Context, cancel = context.WithTimeout(r.Context(), call.Deadline.Left())
		defer cancel()
		defer watchPeer(r, cancel)()
		if call.Inbound {
			p.executions.add(call.Execution)
			defer p.executions.remove(call.Execution)
		}
		answer, err = chain.Handle(call)
		noteFailedCall(call, answer, err)
	}
	defer func() { p.Counters.observe(direction, err, time.Since(started)) }()
	err = p.beginHead(w.Header(), r, call, answer, err)
	if err != nil {
		p.logEnd(r, call, direction, err, time.Since(started))
		p.advise(call, err).WriteHTTP(w)
		return
	}
	defer answer.Body.Close()
	p.logFailureAnswer(call, direction, answer, time.Since(started))
	writeAnswer(w, answer.Response)
}

// beginHead adds to the head of an answer, or of the failure err, what this process itself
// has to say. With requests behind it on its connection, which would be lost with the
// connection, an answer that breaks off is found out first: it returns the failure that
// then stands in its place, or err.
func (p *Process) beginHead(header http.Header, r *http.Request, call *Call, answer *Answer, err error) error {
	if call != nil && call.Inbound {
		p.addReport(header, call, answer)
		header["Date"] = nil // the process that answers the caller adds it
	}
	behind := beginAnswer(r)
	if p.Leaving() && !behind {
		header.Set("Connection", "close")
	}
	if err == nil && behind {
		return holdBody(answer.Response)
	}
	return err
}

// noteFailedCall records a failed call of the own back end with the request that it was
// made for: when that fails as well, it follows from the call.
func noteFailedCall(call *Call, answer *Answer, err error) {
	ofBackEnd := !call.Inbound && call.Execution != nil
	if ofBackEnd && (err != nil || answer.Failed()) {
		call.Execution.NoteCallFailed()
	}
}

// recoverPanic keeps the process alive when a handler panics.
func (p *Process) recoverPanic(http.ResponseWriter) {
	cause := recover()
	if cause == nil {
		return
	}
	if cause != http.ErrAbortHandler {
		p.Log.Emit(event.RequestPanic, "panic", cause)
	}
	panic(http.ErrAbortHandler) // the caller sees a broken connection, not a whole answer
}

// checkReady refuses requests while the process does not know the policy.
func (p *Process) checkReady() error {
	if p.Ready() {
		return nil
	}
	return result.New(result.NotReady, "the process has not learned the policy yet").WithUsualRetryAfter()
}

// newCall fills in what all calls have.
func (p *Process) newCall(r *http.Request, to target) (*Call, error) {
	body, err := newBody(r)
	if err != nil {
		return nil, err
	}
	header := r.Header // nobody else reads it any more
	wire.RemoveHopByHop(header)
	call := &Call{
		Service:     to.service,
		Method:      r.Method,
		URL:         r.URL,
		Host:        r.Host,
		Header:      header,
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
