package kernel

import (
	"bufio"
	"bytes"
	"context"
	"net/http"
)

// startPipelined starts the complete requests among the pending bytes. It stops at the first
// request that is not simple, and starts none while the server's current request is not
// simple.
func (c *callerConn) startPipelined() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for c.simple && !c.answering && len(c.queue) < maximumPipelined && c.startedBytes < len(c.pending) {
		var scanner boundaryScanner
		raw := c.pending[c.startedBytes:]
		next := scanner.next(raw)
		if !next.complete || !next.simple {
			return
		}
		request := parseRequest(raw[:next.length])
		if request == nil {
			return
		}
		request.RemoteAddr = c.RemoteAddr().String()
		started := c.start(c.context, request)
		if started == nil {
			return
		}
		c.queue = append(c.queue, started)
		c.startedBytes += next.length
	}
}

// parseRequest parses a request without a body. It returns nil when the request is
// malformed or asks for the connection to be closed.
func parseRequest(raw []byte) *http.Request {
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(raw)))
	if err != nil || request.Close || request.Host == "" || !request.ProtoAtLeast(1, 1) {
		return nil
	}
	request.Body = http.NoBody
	return request
}

// takePipelined removes r from the queue of started requests and returns its entry, nil
// when r was not started early. If the first entry does not match r, all are cancelled.
func (c *callerConn) takePipelined(r *http.Request, idHeader string) *pipelined {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.startedEarly || len(c.queue) == 0 {
		return nil // the requests in the queue come after r
	}
	c.startedEarly = false
	first := c.queue[0]
	c.queue = c.queue[1:]
	if !first.matches(r, idHeader) {
		c.cancelPipelined(first)
		return nil
	}
	return first
}

// cancelPipelined cancels first and all requests in the queue. The caller holds mutex.
func (c *callerConn) cancelPipelined(first *pipelined) {
	first.cancel()
	for _, other := range c.queue {
		other.cancel()
	}
	c.queue = nil
}

// nextRequest records that the server has reached the next request.
func (c *callerConn) nextRequest() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.answering = false
}

// beginAnswer records that the answer to the server's current request is being written;
// from then on no later request is started. It reports whether later requests have been
// started, whose answers would be lost with the connection.
func (c *callerConn) beginAnswer() (laterStarted bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.answering = true
	return len(c.queue) > 0
}

// beginAnswer records on the connection of r that the answer is being written, and reports
// whether later requests on that connection have been started.
func beginAnswer(r *http.Request) (laterStarted bool) {
	conn := callerConnOf(r)
	return conn != nil && conn.beginAnswer()
}

// mayStartEarly reports whether a request may be served before its turn. Its route must be
// repeatable, so that a caller that does not receive the answer can retry.
func (p *Process) mayStartEarly(r *http.Request) bool {
	if !p.Ready() || p.Leaving() {
		return false
	}
	route := p.Policy.Load().Routes().Find(hostName(r.Host), r.URL.EscapedPath())
	return route != nil && route.Repeatable
}

// startEarly starts to serve a request before its turn. It returns nil when the request
// must wait. It is the starter of entries.
func (p *Process) startEarly(ctx context.Context, r *http.Request) *pipelined {
	if !p.mayStartEarly(r) {
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	started := newPipelined(r.WithContext(ctx), cancel)
	p.Counters.Pipelined.Add(1)
	p.Go(func() {
		started.run(http.HandlerFunc(p.serveEntry))
		<-ctx.Done() // a stopping process waits until the answer has been written
	})
	return started
}

// servePipelined writes the answer to a request that was started before its turn. It
// returns false when the request was not started.
func (p *Process) servePipelined(w http.ResponseWriter, r *http.Request) bool {
	conn := callerConnOf(r)
	if conn == nil {
		return false
	}
	started := conn.takePipelined(r, p.Dialect.RequestID)
	if started == nil {
		return false
	}
	conn.nextRequest()
	p.inFlight.Add(1)
	defer p.inFlight.Add(-1)
	started.awaitComplete()
	if laterStarted := conn.beginAnswer(); !laterStarted && p.Leaving() {
		w.Header().Set("Connection", "close")
	}
	started.writeTo(w)
	return true
}
