package kernel

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// starter begins to serve a request before its turn, nil when it must wait.
type starter func(ctx context.Context, r *http.Request) *pipelined

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
// behind one that reads only are served beside it, if they may be. The read
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
	queue     []*pipelined // in the order of the connection
	parsed    int          // bytes of kept that belong to requests that were begun
	wasBegun  bool         // the request that the server has is the first of the queue
	answering bool         // the answer to the request that the server has goes out
	behind    bool         // the server has a byte of a later request
	gone      func()       // of the request that is being served, nil between requests
	look      *time.Timer
}

// Bounds of what is kept of a connection. With them a caller that sends many requests and
// reads no answer costs a bounded amount of memory.
const (
	maximumPipelined = 8
	maximumKept      = 16 << 10 // bytes
	watchBufferSize  = 1 << 10  // bytes
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
		c.startPipelined()
		if len(c.kept) >= maximumKept {
			n := c.give(data)
			c.foundMore()
			return n, nil
		}
		if c.buffer == nil {
			c.buffer = make([]byte, watchBufferSize)
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
