package exchange

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/transport/responsecheck"
	"github.com/loomcleat/loomcleat/transport/socket"
)

// conn is a connection that carries one exchange at a time.
type conn struct {
	net.Conn
	address string
	pool    *pool
	expires clock.Instant // set while the connection is idle
	served  int           // successful exchanges

	// State of the exchange in flight.
	written          atomic.Int64 // request bytes written
	checker          responsecheck.Checker
	readErr          error           // ended the reads of the response, nil before
	reader           *bufio.Reader   // nil between exchanges
	stopContextWatch func() bool     // unregisters the function that closes the connection when the context ends
	upload           *upload         // nil if the request was written before the response is read
	contextDone      <-chan struct{} // closed at the end of the context
	writeFailed      atomic.Bool     // the connection has refused a write
	waitMutex        sync.Mutex      // guards headRead and the read deadline
	headRead         bool            // the head of the response has been read
}

// upload is the write of a request in the background.
type upload struct {
	done chan struct{} // closed at the end of the write
	err  error         // set before done is closed
}

// Bounds of an exchange.
const (
	// bufferSize is the size of the read and write buffers, in bytes. Most requests
	// and responses fit.
	bufferSize = 4 << 10
	// maximumInlineBody is the longest request body, in bytes, that is written before
	// the response is read. Longer ones are written in the background, since the
	// server may respond before it has read them.
	maximumInlineBody = 8 << 10
	// finalReadTimeout is how long to wait for the head of the response after writing the
	// request failed: the server may have responded before it closed the connection.
	finalReadTimeout = 100 * time.Millisecond
)

// readers and writers hold buffers, so that idle connections need none.
var (
	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferSize) }}
	writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferSize) }}
)

// errContextEnded ends the wait for the rest of a request.
var errContextEnded = errors.New("the context ended before the request was written")

// brokenEndError is the end of a connection that is not the end of the response.
type brokenEndError struct {
	cause error
}

func (e *brokenEndError) Error() string {
	return fmt.Sprintf("the connection ended before the response: %v", e.cause)
}

func (e *brokenEndError) Unwrap() error { return e.cause }

// Read implements net.Conn. It returns only bytes that belong to a valid response.
func (c *conn) Read(data []byte) (int, error) {
	if c.readErr != nil {
		return 0, c.readErr // again: readers that look ahead drop an error
	}
	n, err := c.readValid(data)
	c.readErr = err
	return n, err
}

func (c *conn) readValid(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if valid, invalid := c.checker.Check(data[:n]); invalid != nil {
		return valid, invalid
	}
	if errors.Is(err, io.EOF) && c.checker.UntilClose() {
		return n, c.checkEnd()
	}
	return n, err
}

// causeOf returns the error that ended the reads of the response, in place of the one that Go's reader
// made of it, or err if the connection has only ended.
func (c *conn) causeOf(err error) error {
	if c.readErr == nil || errors.Is(c.readErr, io.EOF) {
		return err
	}
	return c.readErr
}

// checkEnd returns io.EOF if the end of the connection is that of the response, whose length is not
// told otherwise. This is known when the request has been written and has arrived: a server that
// broke off would have reset the connection when more of the request arrived. Whichever of the
// two goroutines meets a reset first, the other one may only see the end of the connection.
func (c *conn) checkEnd() error {
	if err := c.awaitUpload(); err != nil {
		return &brokenEndError{cause: err}
	}
	if err := socket.AwaitDelivery(c.Conn); err != nil {
		return &brokenEndError{cause: err}
	}
	return io.EOF
}

// Write implements net.Conn. It counts the bytes of the request.
func (c *conn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.written.Add(int64(n))
	if err != nil {
		c.writeFailed.Store(true)
	}
	return n, err
}

// exchange sends the request and reads the head of the response. The connection
// returns to the pool once the body has been read to its end. It is closed if the
// exchange fails or ctx ends.
func (c *conn) exchange(ctx context.Context, request *http.Request) (*http.Response, error) {
	c.written.Store(0)
	c.checker, c.readErr = responsecheck.NewChecker(request.Method), nil
	c.upload, c.contextDone = nil, ctx.Done()
	c.writeFailed.Store(false)
	c.headRead = false
	c.reader, _ = readers.Get().(*bufio.Reader)
	c.reader.Reset(c)
	c.stopContextWatch = context.AfterFunc(ctx, func() { _ = c.Conn.Close() })
	if err := c.send(request); err != nil {
		c.discard()
		return nil, err
	}
	response, err := c.readHead(request)
	if err != nil {
		c.discard()
		return nil, c.causeOf(err)
	}
	if c.upload != nil {
		c.recordHead()
	}
	response.Body = c.newBody(response)
	return response, nil
}

// send writes a short request synchronously and a long one in the background,
// while the response is read.
func (c *conn) send(request *http.Request) error {
	if request.ContentLength >= 0 && request.ContentLength <= maximumInlineBody {
		return c.write(request)
	}
	background := &upload{done: make(chan struct{})}
	c.upload = background
	go func() {
		defer close(background.done)
		background.err = c.write(request)
		if background.err != nil {
			c.boundReads()
		}
	}()
	return nil
}

// boundReads bounds the wait for the response after writing the request failed. If the head has been read and
// the connection has refused the write, nothing more arrives, and the reader of the content, who may be slow,
// gets what has arrived.
func (c *conn) boundReads() {
	c.waitMutex.Lock()
	defer c.waitMutex.Unlock()
	if c.headRead && c.writeFailed.Load() {
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(finalReadTimeout)) // fails if the connection is closed
}

// recordHead records that the head of the response has been read, which lifts the bound of boundReads if the
// connection has refused the write.
func (c *conn) recordHead() {
	c.waitMutex.Lock()
	defer c.waitMutex.Unlock()
	c.headRead = true
	if c.writeFailed.Load() {
		_ = c.SetReadDeadline(time.Time{}) // fails if the connection is closed
	}
}

func (c *conn) write(request *http.Request) error {
	writer, _ := writers.Get().(*bufio.Writer)
	writer.Reset(c)
	defer func() {
		writer.Reset(nil)
		writers.Put(writer)
	}()
	if err := request.Write(writer); err != nil {
		return err
	}
	return writer.Flush()
}

// awaitUpload waits until the request has been written. It returns the error of the write, or
// errContextEnded.
func (c *conn) awaitUpload() error {
	if c.upload == nil {
		return nil
	}
	select {
	case <-c.upload.done:
		return c.upload.err
	case <-c.contextDone:
		return errContextEnded
	}
}

// readHead reads the head of the final response and skips interim ones, whose number the checker
// bounds.
func (c *conn) readHead(request *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// discard closes the connection and releases its resources.
func (c *conn) discard() {
	c.stopContextWatch()
	_ = c.Conn.Close()
	c.freeReader()
}

// freeReader returns the read buffer to its pool.
func (c *conn) freeReader() {
	if c.reader == nil {
		return
	}
	c.reader.Reset(nil)
	readers.Put(c.reader)
	c.reader = nil
}

// finish ends an exchange whose response was read completely. The connection
// returns to the pool if it can be reused and is closed otherwise.
func (c *conn) finish(reusable bool, keepAlive time.Duration) {
	noSurplus := c.reader.Buffered() == 0 // surplus bytes could be taken for the next response
	if !c.stopContextWatch() || !reusable || !noSurplus || !c.requestWritten() {
		c.discard()
		return
	}
	c.freeReader()
	c.served++
	c.pool.put(c, keepAlive)
}

// requestWritten reports whether the request has been written completely.
func (c *conn) requestWritten() bool {
	if c.upload == nil {
		return true
	}
	select {
	case <-c.upload.done:
		return c.upload.err == nil
	default:
		return false
	}
}

// newBody returns the body of a response. The exchange ends when the body has been
// read to its end or is closed.
func (c *conn) newBody(response *http.Response) io.ReadCloser {
	return &body{
		ReadCloser: response.Body,
		conn:       c,
		reusable:   !response.Close,
		keepAlive:  keepAliveTimeout(response.Header),
	}
}

// body is the body of a response. An empty one must be read as well: a caller that closes it
// unread has not accepted the response, and the one to its request may still be on its way.
type body struct {
	io.ReadCloser
	conn      *conn // nil once the exchange has ended
	readErr   error // returned by Read once the exchange has ended
	reusable  bool
	keepAlive time.Duration
}

// Read implements io.Reader.
func (b *body) Read(data []byte) (int, error) {
	if b.conn == nil {
		return 0, b.readErr
	}
	n, err := b.ReadCloser.Read(data)
	if err == nil {
		return n, nil
	}
	err = b.conn.causeOf(err)
	b.readErr = err
	if errors.Is(err, io.EOF) {
		b.conn.finish(b.reusable, b.keepAlive)
	} else {
		b.conn.discard()
	}
	b.conn = nil
	return n, err
}

// Close implements io.Closer. It closes the connection if the body was not read to
// its end.
func (b *body) Close() error {
	if b.conn == nil {
		return nil
	}
	b.readErr = http.ErrBodyReadAfterClose
	b.conn.discard()
	b.conn = nil
	return nil
}

// keepAliveMargin is the fraction of the server's keep-alive timeout during which
// an idle connection is reused. The rest covers requests that are still in transit
// when the timeout ends.
const keepAliveMargin = 0.8

// keepAliveTimeout returns how long to keep an idle connection, from the timeout in the
// Keep-Alive header, or 0 without one.
func keepAliveTimeout(header http.Header) time.Duration {
	for _, list := range header["Keep-Alive"] {
		for _, parameter := range strings.Split(list, ",") {
			text, found := strings.CutPrefix(strings.TrimSpace(parameter), "timeout=")
			if !found {
				continue
			}
			if seconds, err := strconv.Atoi(text); err == nil && seconds > 0 {
				return time.Duration(float64(seconds) * keepAliveMargin * float64(time.Second))
			}
		}
	}
	return 0
}
