package socket

import (
	"context"
	"net"
	"time"
)

// Listen opens a TCP listener that wraps accepted connections with Wrap. TCP
// keep-alive is off: servers close idle connections after their idle timeout, and
// requests end at their deadline.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: -1}
	bound, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return listener{Listener: bound}, nil
}

// listener wraps the connections that it accepts with Wrap.
type listener struct {
	net.Listener
}

func (l listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return Wrap(conn), nil
}

// Dialer opens connections that are wrapped with Wrap. TCP keep-alive is off.
type Dialer struct {
	// Timeout bounds the opening of one connection. 0: only the context bounds it.
	Timeout time.Duration
}

// DialContext opens a connection to an address.
func (d Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: d.Timeout, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return Wrap(conn), nil
}
