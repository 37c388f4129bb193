package kernel

import (
	"bufio"
	"bytes"
	"context"
	"net/http"
)

// startPipelined begins with the requests that are kept whole, as long as each of them and
// the one that the server has read only.
func (c *callerConn) startPipelined() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for c.simple && !c.answering && len(c.queue) < maximumPipelined && c.parsed < len(c.kept) {
		var scanner boundaryScanner
		raw := c.kept[c.parsed:]
		next := scanner.next(raw)
		if !next.whole || !next.simple {
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
		c.parsed += next.length
	}
}

// parseRequest reads a request without a body, nil when it is malformed or closes
// the connection.
func parseRequest(raw []byte) *http.Request {
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(raw)))
	if err != nil || request.Close || request.Host == "" || !request.ProtoAtLeast(1, 1) {
		return nil
	}
	request.Body = http.NoBody
	return request
}

// takePipelined returns the service of a request that was begun before its turn, nil
// when there is none.
func (c *callerConn) takePipelined(r *http.Request, idHeader string) *pipelined {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.wasBegun || len(c.queue) == 0 {
		return nil // those of the queue come behind it
	}
	c.wasBegun = false
	first := c.queue[0]
	c.queue = c.queue[1:]
	if !first.is(r, idHeader) {
		c.cancelPipelined(first)
		return nil
	}
	return first
}

// cancelPipelined gives up all that was begun. The mutex is held.
func (c *callerConn) cancelPipelined(first *pipelined) {
	first.cancel()
	for _, other := range c.queue {
		other.cancel()
	}
	c.queue = nil
}

// nextRequest takes note that the server has come to the next request.
func (c *callerConn) nextRequest() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.answering = false
}

// beginAnswer takes note that the answer to the request that the server has begins to
// go out, from when on nothing is begun behind it. It reports whether something was,
// which would be lost with the connection.
func (c *callerConn) beginAnswer() (behind bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.answering = true
	return len(c.queue) > 0
}

// beginAnswer takes note that the answer to a request begins to go out, and reports
// whether requests behind it on its connection have been begun.
func beginAnswer(r *http.Request) (behind bool) {
	conn := callerConnOf(r)
	return conn != nil && conn.beginAnswer()
}

// mayStartEarly reports whether a request may be served before its turn: when its
// route says that it may be repeated, so that a caller who never gets the answer can
// send it again.
func (p *Process) mayStartEarly(r *http.Request) bool {
	if !p.Ready() || p.Leaving() {
		return false
	}
	route := p.Policy.Load().Routes().Find(hostName(r.Host), r.URL.EscapedPath())
	return route != nil && route.Repeatable
}

// startEarly begins to serve a request before its turn, nil when it must wait.
func (p *Process) startEarly(ctx context.Context, r *http.Request) *pipelined {
	if !p.mayStartEarly(r) {
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	started := newPipelined(r.WithContext(ctx), cancel)
	p.Counters.Pipelined.Add(1)
	p.Go(func() {
		started.run(http.HandlerFunc(p.serveEntry))
		<-ctx.Done() // a stopping process waits until the answer has been passed on
	})
	return started
}

// passPipelined passes on the answer to a request that was begun before its turn. It
// reports whether there is one.
func (p *Process) passPipelined(w http.ResponseWriter, r *http.Request) bool {
	conn := callerConnOf(r)
	if conn == nil {
		return false
	}
	begun := conn.takePipelined(r, p.Dialect.RequestID)
	if begun == nil {
		return false
	}
	conn.nextRequest()
	p.inFlight.Add(1)
	defer p.inFlight.Add(-1)
	begun.awaitWhole()
	if behind := conn.beginAnswer(); !behind && p.Leaving() {
		w.Header().Set("Connection", "close")
	}
	begun.passOn(w)
	return true
}
