// Package checkedconn makes connections on which Go's HTTP client reads only valid responses.
//
// It serves the clients of the store, of other processes and of health pages; requests of callers go
// through package exchange. It owns the state of the check of each connection, and relies on
// responsecheck for what is valid and on socket for whether a connection was reset.
package checkedconn

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/loomcleat/loomcleat/transport/responsecheck"
	"github.com/loomcleat/loomcleat/transport/socket"
)

// Dial returns a function that opens connections with dial, a function such as DialContext of
// net.Dialer. The connections check the responses that they read. Their requests must not be of method
// HEAD, and must not overlap.
func Dial(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		opened, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: opened, checker: responsecheck.NewChecker(http.MethodGet)}, nil
	}
}

// conn is a connection whose Read returns only bytes of valid responses.
type conn struct {
	net.Conn
	checker     responsecheck.Checker
	readErr     error       // ended the reads, and is returned by all further ones
	writeFailed atomic.Bool // the reader and the writer are two goroutines
}

var errWrite = errors.New("the connection ended after a failed write")

// Read implements net.Conn. The error is a *responsecheck.Error if the bytes are no response.
func (c *conn) Read(data []byte) (int, error) {
	if c.readErr != nil {
		return 0, c.readErr
	}
	n, err := c.Conn.Read(data)
	valid, invalid := c.check(data[:n])
	switch {
	case invalid != nil:
		c.readErr = invalid
	case errors.Is(err, io.EOF) && c.checker.UntilClose():
		c.readErr = c.checkEnd()
	default:
		c.readErr = err
	}
	return valid, c.readErr
}

// check checks the bytes of a response and of those after it.
func (c *conn) check(data []byte) (valid int, err error) {
	for valid < len(data) {
		if c.checker.Complete() {
			c.checker = responsecheck.NewChecker(http.MethodGet)
		}
		n, err := c.checker.Check(data[valid:])
		valid += n
		if err != nil {
			return valid, err
		}
	}
	return valid, nil
}

// checkEnd returns io.EOF if the end of the connection is that of the response, and the reason if it
// is not: the connection was reset, which a writer may have learned in place of the reader.
func (c *conn) checkEnd() error {
	if c.writeFailed.Load() {
		return errWrite
	}
	if err := socket.AwaitDelivery(c.Conn); err != nil {
		return err
	}
	return io.EOF
}

// Write implements net.Conn.
func (c *conn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	if err != nil {
		c.writeFailed.Store(true)
	}
	return n, err
}
