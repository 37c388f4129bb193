package kernel

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// starter begins to serve a request before its turn, nil when it must wait.
type starter func(ctx context.Context, r *http.Request) *ahead

// callerListener accepts the connections of callers as callerConns.
type callerListener struct {
	net.Listener
	start starter // nil: each request waits for its turn
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	accepted := &callerConn{Conn: conn, start: l.start}
	accepted.context, accepted.cancel = context.WithCancel(context.Background())
	return accepted, nil
}

// callerConn is a connection on which callers may send requests behind the one
// that is being served.
//
// It gives the server one request at a time and keeps what comes behind it. Requests
// behind one that reads only are served ahead of their turn, if they may be. The read
// of one byte by which the server looks for the end of the connection lasts until
// that end, whatever comes.
//
// Where the ends of requests are not known, the server gets all bytes. The first byte
// behind the present request ends its look for the end of the connection, and
// callerConn looks by itself from then on.
type callerConn struct {
	net.Conn
	start   starter
	context context.Context // ends with the connection
	cancel  context.CancelFunc

	// Of the goroutine that reads. The server has only one at a time.
	scanner boundaryScanner // of what the server has been given
	kept    []byte          // read, and not given to the server yet
	buffer  []byte          // of the look for the end of the connection
	simple  bool            // the request that the server has reads only
	over    error           // the connection has ended so

	mutex     sync.Mutex
	queue     []*ahead // in the order of the connection
	parsed    int      // bytes of kept that belong to requests that were begun
	wasBegun  bool     // the request that the server has is the first of the queue
	answering bool     // the answer to the request that the server has goes out
	behind    bool     // the server has a byte of a later request
	gone      func()   // of the request that is being served, nil between requests
	look      *time.Timer
}

// Bounds of what is served ahead.
const (
	maximumQueue  = 8
	maximumKept   = 16 << 10 // bytes
	readAheadSize = 1 << 10  // bytes
)

// Read implements net.Conn.
func (c *callerConn) Read(data []byte) (int, error) {
	if c.over != nil {
		return 0, c.over
	}
	if c.scanner.unsure || c.start == nil {
		return c.readPlain(data)
	}
	if len(data) == 1 && c.scanner.atEnd() {
		return c.watchEnd(data)
	}
	if len(c.kept) == 0 {
		n, err := c.Conn.Read(data)
		if err != nil {
			return n, err
		}
		c.kept = append(c.kept, data[:n]...)
	}
	return c.give(data), nil
}

// readPlain gives the server what comes.
func (c *callerConn) readPlain(data []byte) (int, error) {
	n, err := 0, error(nil)
	if len(c.kept) > 0 {
		n = copy(data, c.kept)
		c.kept = c.kept[n:]
	} else {
		n, err = c.Conn.Read(data)
	}
	if len(data) == 1 && n == 1 {
		c.foundMore()
	}
	return n, err
}

// give gives the server bytes that were kept, up to the end of a request.
func (c *callerConn) give(data []byte) int {
	available := c.kept[:min(len(data), len(c.kept))]
	next := c.scanner.next(available)
	c.simple = next.simple
	n := copy(data, available[:next.length])
	c.kept = c.kept[n:]
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if next.whole {
		c.wasBegun = c.parsed > 0
	}
	c.parsed = max(c.parsed-n, 0)
	return n
}

// watchEnd waits for the end of the connection and looks meanwhile at what comes
// behind the request that the server has. When more comes than is kept, the server
// is given a byte, which ends its look.
func (c *callerConn) watchEnd(data []byte) (int, error) {
	for {
		c.runAhead()
		if len(c.kept) >= maximumKept {
			n := c.give(data)
			c.foundMore()
			return n, nil
		}
		if c.buffer == nil {
			c.buffer = make([]byte, readAheadSize)
		}
		n, err := c.Conn.Read(c.buffer)
		if err != nil {
			c.ended(err)
			return 0, err
		}
		c.kept = append(c.kept, c.buffer[:n]...)
	}
}

// ended gives up what was begun on the connection, and what is kept of it, when its
// end has come.
func (c *callerConn) ended(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return // by this the server ends its look
	}
	c.over, c.kept = err, nil
	c.cancel()
}

// runAhead begins with the requests that are kept whole, as long as each of them and
// the one that the server has read only.
func (c *callerConn) runAhead() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for c.simple && !c.answering && len(c.queue) < maximumQueue && c.parsed < len(c.kept) {
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

// takeAhead returns the service of a request that was begun before its turn, nil
// when there is none.
func (c *callerConn) takeAhead(r *http.Request, idHeader string) *ahead {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.wasBegun || len(c.queue) == 0 {
		return nil // those of the queue come behind it
	}
	c.wasBegun = false
	first := c.queue[0]
	c.queue = c.queue[1:]
	if !first.is(r, idHeader) {
		c.dropAhead(first)
		return nil
	}
	return first
}

// dropAhead gives up all that was begun. The mutex is held.
func (c *callerConn) dropAhead(first *ahead) {
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

// Close implements net.Conn. What was begun on the connection is given up.
func (c *callerConn) Close() error {
	c.cancel()
	return c.Conn.Close()
}

// callerConnOf returns the connection of a caller's request, nil when it is none.
func callerConnOf(r *http.Request) *callerConn {
	conn, _ := r.Context().Value(connectionKey{}).(*callerConn)
	return conn
}
