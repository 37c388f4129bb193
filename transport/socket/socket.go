package socket

import (
	"context"
	"net"
	"time"
)

// Listen opens a listener on an address whose connections are those of this
// package. Connections are not probed while they are idle: servers end them
// after their idle time, and requests end at their deadline.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: -1}
	bound, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return listener{Listener: bound}, nil
}

// listener accepts the connections of another listener as those of this package.
type listener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return Wrap(conn), nil
}

// Dialer opens connections.
type Dialer struct {
	// Timeout bounds the opening of one connection. 0: the context's alone.
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
