package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/loomcleat/loomcleat/clock"
)

// conn is a connection on which one exchange takes place at a time.
type conn struct {
	net.Conn
	address string
	pool    *pool
	expires clock.Instant // while it is idle
	served  int           // exchanges that have ended well

	// Of the exchange that is under way.
	written atomic.Int64  // bytes of the request
	unread  int64         // bytes that may still be read before the body
	reader  *bufio.Reader // nil between exchanges
	release func() bool   // stops the watch on the context
	sent    chan error    // outcome of writing the request aside, nil when it was written at once
}

// Bounds of an exchange.
const (
	// bufferSize is the size of the buffers of an exchange, in bytes. Most
	// requests and answers fit.
	bufferSize = 4 << 10
	// writtenAtOnce is the longest body that is written before the answer is
	// read, in bytes. Whoever receives a longer one may answer before it has
	// read it, and must not be waited for.
	writtenAtOnce = 8 << 10
	// maximumHead bounds the status line and headers of an answer, in bytes.
	maximumHead = 1 << 20
	// lastAnswerTime is how long an answer is waited for after the request could
	// not be written whole: whoever closed the connection may have answered before.
	lastAnswerTime = 100 * time.Millisecond
	// maximumInterim bounds the answers before the final one, such as 100.
	maximumInterim = 8
)

// readers and writers are the buffers that idle connections do without.
var (
	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferSize) }}
	writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferSize) }}
)

var (
	errHeadTooLong = errors.New("the head of the answer is too long")
	errInterim     = errors.New("too many answers before the final one")
)

// Read implements net.Conn and bounds what comes before the body.
func (c *conn) Read(data []byte) (int, error) {
	if c.unread <= 0 {
		return 0, errHeadTooLong
	}
	n, err := c.Conn.Read(data)
	c.unread -= int64(n)
	return n, err
}

// Write implements net.Conn and counts the bytes of the request.
func (c *conn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.written.Add(int64(n))
	return n, err
}

// exchange sends the request and reads the head of its answer. The connection
// comes back to the pool at the end of the body; it is closed when the exchange
// fails or ctx ends.
func (c *conn) exchange(ctx context.Context, request *http.Request) (*http.Response, error) {
	c.written.Store(0)
	c.unread = maximumHead
	c.sent = nil
	c.reader, _ = readers.Get().(*bufio.Reader)
	c.reader.Reset(c)
	c.release = context.AfterFunc(ctx, func() { _ = c.Conn.Close() })
	if err := c.send(request); err != nil {
		c.abandon()
		return nil, err
	}
	response, err := c.readHead(request)
	if err != nil {
		c.abandon()
		return nil, err
	}
	c.unread = math.MaxInt64
	response.Body = c.bodyOf(response)
	return response, nil
}

// send writes the request: a short one at once, a long one beside the reading of
// its answer.
func (c *conn) send(request *http.Request) error {
	if request.ContentLength >= 0 && request.ContentLength <= writtenAtOnce {
		return c.write(request)
	}
	sent := make(chan error, 1)
	c.sent = sent
	go func() {
		err := c.write(request)
		if err != nil {
			_ = c.SetReadDeadline(time.Now().Add(lastAnswerTime))
		}
		sent <- err
	}()
	return nil
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

// readHead reads the head of the final answer.
func (c *conn) readHead(request *http.Request) (*http.Response, error) {
	for range maximumInterim {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			return response, nil
		}
	}
	return nil, errInterim
}

// abandon closes the connection.
func (c *conn) abandon() {
	c.release()
	_ = c.Conn.Close()
	c.freeReader()
}

// freeReader gives the buffer back.
func (c *conn) freeReader() {
	if c.reader == nil {
		return
	}
	c.reader.Reset(nil)
	readers.Put(c.reader)
	c.reader = nil
}

// finish ends an exchange whose answer was read whole: the connection is kept if
// it can serve another.
func (c *conn) finish(reusable bool, keepAlive time.Duration) {
	quiet := c.reader.Buffered() == 0 // bytes behind an answer belong to no request
	if !c.release() || !reusable || !quiet || !c.sentWhole() {
		c.abandon()
		return
	}
	c.freeReader()
	c.served++
	c.pool.put(c, keepAlive)
}

// sentWhole reports whether the request has been written whole.
func (c *conn) sentWhole() bool {
	if c.sent == nil {
		return true
	}
	select {
	case err := <-c.sent:
		return err == nil
	default:
		return false
	}
}

// bodyOf returns the body of an answer, which ends the exchange at its end.
func (c *conn) bodyOf(response *http.Response) io.ReadCloser {
	reusable := !response.Close && response.StatusCode != http.StatusSwitchingProtocols
	keepAlive := keepAliveOf(response.Header)
	if response.Body == http.NoBody {
		c.finish(reusable, keepAlive)
		return http.NoBody
	}
	return &body{ReadCloser: response.Body, conn: c, reusable: reusable, keepAlive: keepAlive}
}

// body is the body of an answer.
type body struct {
	io.ReadCloser
	conn      *conn // nil once the exchange has ended
	end       error // of reading, once the exchange has ended
	reusable  bool
	keepAlive time.Duration
}

// Read implements io.Reader.
func (b *body) Read(data []byte) (int, error) {
	if b.conn == nil {
		return 0, b.end
	}
	n, err := b.ReadCloser.Read(data)
	if err == nil {
		return n, nil
	}
	b.end = err
	if errors.Is(err, io.EOF) {
		b.conn.finish(b.reusable, b.keepAlive)
	} else {
		b.conn.abandon()
	}
	b.conn = nil
	return n, err
}

// Close implements io.Closer. A body that was not read to its end takes the
// connection with it.
func (b *body) Close() error {
	if b.conn == nil {
		return nil
	}
	b.end = http.ErrBodyReadAfterClose
	b.conn.abandon()
	b.conn = nil
	return nil
}

// keepAliveMargin is the share of the time that the other side keeps a connection
// in which it is used here, since a request may be on its way when the time ends.
const keepAliveMargin = 0.8

// keepAliveOf returns how long the other side keeps an idle connection, 0 when it
// does not say.
func keepAliveOf(header http.Header) time.Duration {
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
