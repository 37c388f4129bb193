package exchange

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/loomcleat/loomcleat/transport/socket"
)

// Config configures a Client.
type Config struct {
	// Dial opens connections. Default: a socket.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// DialTimeout bounds the opening of a connection by the default Dial.
	DialTimeout time.Duration
	// MaximumIdle is the number of idle connections kept for each address. A
	// higher number avoids new connections under changing load; a lower one saves
	// file descriptors. 0: none are kept.
	MaximumIdle int
	// IdleTimeout is the time after which idle connections are closed. It should
	// be shorter than the server's idle timeout. A shorter timeout in the server's
	// Keep-Alive header takes precedence. 0: idle connections are kept until the
	// server closes them.
	IdleTimeout time.Duration
}

// Client sends requests over pooled connections. It is safe for concurrent use.
type Client struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)
	idle pool
}

// NewClient returns a Client.
func NewClient(config Config) *Client {
	dial := config.Dial
	if dial == nil {
		dial = socket.Dialer{Timeout: config.DialTimeout}.DialContext
	}
	return &Client{
		dial: dial,
		idle: pool{maximumIdle: config.MaximumIdle, timeout: config.IdleTimeout, byAddress: map[string][]*conn{}},
	}
}

// Close closes idle connections. Exchanges in flight are not interrupted.
func (c *Client) Close() { c.idle.close() }

// Error is a failed exchange.
type Error struct {
	// Wrote is true if any byte of the request was written, so the server may
	// have executed it.
	Wrote bool
	Err   error
}

func (e *Error) Error() string { return fmt.Sprintf("exchange: %v", e.Err) }

func (e *Error) Unwrap() error { return e.Err }

// Do sends a request to an address and returns the response, whose body the caller
// must close. If ctx ends before the body has been read to its end, the connection
// is closed, so the server can detect that the client no longer waits. Errors are
// of type *Error.
//
// The connection is used again only if the body, also an empty one, has been read to
// its end. A caller that closes it unread rejects the response, for example as one to
// another request.
//
// Body and ContentLength of the request must be set as for http.Request.Write, and
// GetBody if the body can be opened again.
func (c *Client) Do(ctx context.Context, address string, request *http.Request) (*http.Response, error) {
	for {
		used, err := c.connection(ctx, address)
		if err != nil {
			return nil, &Error{Err: err}
		}
		kept := used.served > 0
		response, err := used.exchange(ctx, request)
		if err == nil {
			return response, nil
		}
		wrote := used.written.Load() > 0
		if wrote || !kept || ctx.Err() != nil || !reopen(request) {
			return nil, &Error{Wrote: wrote, Err: err}
		}
	}
}

// DoOnNewConnection is like Do, but no other request was sent on its connection before. No
// bytes that the server sends late for an earlier request can then be read as the response.
// The connection takes the place of an idle one, since servers bound their number.
func (c *Client) DoOnNewConnection(ctx context.Context, address string, request *http.Request) (*http.Response, error) {
	if idle := c.idle.take(address); idle != nil {
		_ = idle.Close()
	}
	opened, err := c.open(ctx, address)
	if err != nil {
		return nil, &Error{Err: err}
	}
	response, err := opened.exchange(ctx, request)
	if err != nil {
		return nil, &Error{Wrote: opened.written.Load() > 0, Err: err}
	}
	return response, nil
}

// reopen resets the body of a request to its start. It reports whether the request
// can be written again.
func reopen(request *http.Request) bool {
	if request.Body == nil {
		return true
	}
	if request.GetBody == nil {
		return false
	}
	body, err := request.GetBody()
	if err != nil {
		return false
	}
	request.Body = body
	return true
}

// connection returns an idle connection to an address or opens a new one.
func (c *Client) connection(ctx context.Context, address string) (*conn, error) {
	if kept := c.idle.take(address); kept != nil {
		return kept, nil
	}
	return c.open(ctx, address)
}

// open opens a connection to an address.
func (c *Client) open(ctx context.Context, address string) (*conn, error) {
	opened, err := c.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: opened, address: address, pool: &c.idle}, nil
}
