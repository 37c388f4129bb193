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
	// MaximumIdle is the number of idle connections kept for each address. More
	// save new connections under changing load, fewer save descriptors. 0: none.
	MaximumIdle int
	// IdleTimeout closes idle connections. It should be shorter than the idle
	// timeout of the other side; one that the other side names in its Keep-Alive
	// header goes first. 0: they are kept until the other side closes them.
	IdleTimeout time.Duration
}

// Client exchanges requests for answers. It is safe for concurrent use.
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
		idle: pool{most: config.MaximumIdle, timeout: config.IdleTimeout, byAddress: map[string][]*conn{}},
	}
}

// Close closes idle connections. Exchanges that are under way go on.
func (c *Client) Close() { c.idle.close() }

// Error is a failed exchange.
type Error struct {
	// Wrote says that a byte of the request was written, so that it may run.
	Wrote bool
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("exchange: %v", e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Do sends a request to an address and returns its answer with the body open. The
// body must be closed. When ctx ends before the body does, the connection is
// closed, which tells the other side that nobody waits any more. An error is an
// *Error.
//
// The request needs Body and ContentLength as http.Request.Write does, and
// GetBody if its body can be opened again.
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

// reopen makes a request ready to be written from its start.
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

// connection returns an idle connection to an address, or a new one.
func (c *Client) connection(ctx context.Context, address string) (*conn, error) {
	if kept := c.idle.take(address); kept != nil {
		return kept, nil
	}
	opened, err := c.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: opened, address: address, pool: &c.idle}, nil
}
