package kernel

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/loomcleat/loomcleat/transport/lingering"
)

// starter starts to serve a request before its turn. It returns nil when the request
// must wait.
type starter func(ctx context.Context, r *http.Request) *pipelined

// callerListener accepts the connections of callers as callerConns.
type callerListener struct {
	lingering.Listener
	start starter // nil when each request waits for its turn
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.AcceptConn()
	if err != nil {
		return nil, err
	}
	accepted := &callerConn{Conn: conn, start: l.start}
	accepted.context, accepted.cancel = context.WithCancel(context.Background())
	return accepted, nil
}

// callerConn is a connection on which callers may pipeline requests.
//
// It passes one request at a time to Go's server and keeps the bytes that follow.
// Requests after a simple one (segment.simple) are served concurrently with it if start
// accepts them. While a request is served, Go's server detects the close of the connection
// with a read of one byte. That read returns only at the close, even if more requests arrive.
//
// When the ends of requests are not known, the server gets all bytes. The first byte
// after the current request then ends the server's detection of the close, and
// callerConn polls the connection instead.
type callerConn struct {
	*lingering.Conn
	start   starter
	context context.Context // cancelled when the connection closes
	cancel  context.CancelFunc

	// Owned by the goroutine that reads. The server has only one at a time.
	scanner boundaryScanner // scans the bytes passed to the server
	pending []byte          // read, but not yet passed to the server
	buffer  []byte          // read buffer of awaitClose
	simple  bool            // the server's current request is simple
	readErr error           // read error that ended the connection

	// Guarded by mutex.
	mutex        sync.Mutex
	queue        []*pipelined // started requests, in the order of the connection
	startedBytes int          // bytes of pending that belong to started requests
	startedEarly bool         // the server's current request is the first of the queue
	answering    bool         // the answer to the server's current request is being written
	laterByte    bool         // the server has read a byte of a later request
	onClose      func()       // called when the caller disconnects, nil between requests
	pollTimer    *time.Timer  // polls the connection
}

// Bounds of the state of a connection, which limit the memory that a caller can use by
// sending many requests without reading the answers.
const (
	maximumPipelined = 8        // started requests
	maximumPending   = 16 << 10 // bytes
	readBufferSize   = 1 << 10  // bytes
)

// Read implements net.Conn.
func (c *callerConn) Read(data []byte) (int, error) {
	if c.ReadingEnded() {
		return 0, io.EOF // also for the bytes that are pending
	}
	if c.readErr != nil {
		return 0, c.readErr
	}
	if c.scanner.unknownForm || c.start == nil {
		return c.readPlain(data)
	}
	if len(data) == 1 && c.scanner.atEnd() {
		return c.awaitClose(data)
	}
	if len(c.pending) == 0 {
		n, err := c.Conn.Read(data)
		if err != nil {
			return n, err
		}
		c.pending = append(c.pending, data[:n]...)
	}
	return c.deliver(data), nil
}

// readPlain passes all bytes to the server as they arrive.
func (c *callerConn) readPlain(data []byte) (int, error) {
	n, err := 0, error(nil)
	if len(c.pending) > 0 {
		n = copy(data, c.pending)
		c.pending = c.pending[n:]
	} else {
		n, err = c.Conn.Read(data)
	}
	if len(data) == 1 && n == 1 {
		c.recordLaterByte()
	}
	return n, err
}

// deliver passes pending bytes to the server, up to the end of a request.
func (c *callerConn) deliver(data []byte) int {
	available := c.pending[:min(len(data), len(c.pending))]
	next := c.scanner.next(available)
	c.simple = next.simple
	n := copy(data, available[:next.length])
	c.pending = c.pending[n:]
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if next.complete {
		c.startedEarly = c.startedBytes > 0
	}
	c.startedBytes = max(c.startedBytes-n, 0)
	return n
}

// awaitClose waits until the connection closes. Meanwhile it keeps the bytes that arrive
// and starts the requests in them. When maximumPending is reached, it passes one byte to
// the server, which ends the server's detection of the close; polling replaces it.
func (c *callerConn) awaitClose(data []byte) (int, error) {
	for {
		c.startPipelined()
		if len(c.pending) >= maximumPending {
			n := c.deliver(data)
			c.recordLaterByte()
			return n, nil
		}
		if c.buffer == nil {
			c.buffer = make([]byte, readBufferSize)
		}
		n, err := c.Conn.Read(c.buffer)
		if err != nil {
			c.fail(err)
			return 0, err
		}
		c.pending = append(c.pending, c.buffer[:n]...)
	}
}

// fail cancels the started requests and drops the pending bytes after a read error.
func (c *callerConn) fail(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return // the server sets a read deadline to stop its detection of the close
	}
	c.readErr, c.pending = err, nil
	c.cancel()
}

// Close implements net.Conn. It cancels the requests started on the connection.
func (c *callerConn) Close() error {
	c.cancel()
	return c.Conn.Close()
}

// callerConnOf returns the connection of a request, nil when it is not a callerConn.
func callerConnOf(r *http.Request) *callerConn {
	conn, _ := r.Context().Value(connectionKey{}).(*callerConn)
	return conn
}
