// Package lingering closes server connections in stages (RFC 9112, section 9.6).
//
// A server that closes a connection while its client still writes resets it, and the client may lose an
// answer that it has not read yet. A Conn closes its sending side first, reads what the client still
// writes, and closes the connection when the client has closed it too.
package lingering

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Listener accepts connections as Conns.
type Listener struct {
	net.Listener
	// Background runs a function in its own goroutine. The function returns soon after the end of
	// its context, which bounds the time until the connection is closed.
	Background func(run func(context.Context))
}

// Accept implements net.Listener. The connection is a *Conn.
func (l Listener) Accept() (net.Conn, error) { return l.AcceptConn() }

// AcceptConn waits for the next connection.
func (l Listener) AcceptConn() (*Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: accepted, background: l.Background}, nil
}

// Conn is a connection of a server.
type Conn struct {
	net.Conn
	background func(run func(context.Context))
	ended      atomic.Bool // the server takes no more bytes from the connection
	resets     atomic.Bool // Close resets the connection
	closeOnce  sync.Once
}

// EndReading makes further reads return io.EOF, and Close close in stages. A read in progress is not
// ended.
func (c *Conn) EndReading() { c.ended.Store(true) }

// ReadingEnded reports whether EndReading was called.
func (c *Conn) ReadingEnded() bool { return c.ended.Load() }

// Read implements net.Conn.
func (c *Conn) Read(data []byte) (int, error) {
	if c.ended.Load() {
		return 0, io.EOF
	}
	return c.Conn.Read(data)
}

// errNoHalfClose is returned for connections whose sending side can't be closed by itself.
var errNoHalfClose = errors.New("the connection has no sending side of its own")

// CloseWrite closes the sending side. Like EndReading, it makes Close close in stages.
func (c *Conn) CloseWrite() error {
	c.EndReading()
	conn, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errNoHalfClose
	}
	return conn.CloseWrite()
}

// ResetOnClose makes Close reset the connection, which its client can't take for an orderly end. It has no
// effect on connections that are not of TCP.
func (c *Conn) ResetOnClose() {
	c.resets.Store(true)
	if conn, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = conn.SetLinger(0) // fails if the connection is closed already
	}
}

// Close implements net.Conn. After EndReading it returns before the connection is closed.
func (c *Conn) Close() error {
	if !c.ended.Load() || c.resets.Load() {
		return c.Conn.Close()
	}
	c.closeOnce.Do(func() { c.background(c.closeInStages) })
	return nil
}

// maximumSilence is the time without a byte of the client after which the connection is closed.
const maximumSilence = 5 * time.Second

// discardBufferSize is the size of the buffer for discarded bytes.
const discardBufferSize = 8 << 10

// closeInStages closes the sending side, discards what the client writes, and closes the connection.
func (c *Conn) closeInStages(ctx context.Context) {
	// No one is left to whom a failure to close could be reported.
	defer func() { _ = c.Conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = c.Conn.Close() })
	defer stop()
	if c.CloseWrite() != nil {
		return
	}
	buffer := make([]byte, discardBufferSize)
	for {
		if c.SetReadDeadline(time.Now().Add(maximumSilence)) != nil {
			return
		}
		if _, err := c.Conn.Read(buffer); err != nil {
			return // the client has closed the connection, or is silent
		}
	}
}
