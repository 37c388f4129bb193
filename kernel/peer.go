package kernel

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// connectionKey is the key of the connection in the context of a request.
type connectionKey struct{}

// withConnection makes the connection of a request known to its handler. It is
// the ConnContext of the servers.
func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// peerInterval is the time between two looks at whether a caller is still there.
const peerInterval = 200 * time.Millisecond

// watchPeer calls gone when the caller of a request closes its connection, until
// stop is called.
//
// Go's server notices this by itself only as long as the caller sends nothing
// behind the request: the first byte of a pipelined one ends its watch.
func watchPeer(r *http.Request, gone func()) (stop func()) {
	conn, ok := r.Context().Value(connectionKey{}).(syscall.Conn)
	if !ok {
		return func() {}
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return func() {}
	}
	stopped := make(chan struct{})
	var look func()
	look = func() {
		select {
		case <-stopped:
			return
		default:
		}
		if peerClosed(raw) {
			gone()
			return
		}
		time.AfterFunc(peerInterval, look)
	}
	time.AfterFunc(peerInterval, look)
	return func() { close(stopped) }
}

// peerClosed reports whether the peer of a connection has closed it, whatever it
// has sent before. It reports false when that cannot be told.
func peerClosed(raw syscall.RawConn) bool {
	closed := false
	_ = raw.Control(func(descriptor uintptr) {
		poll := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLRDHUP}}
		ready, err := unix.Poll(poll, 0)
		closed = err == nil && ready > 0 && poll[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return closed
}
