package socket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Quiet reports whether an idle connection is open and has no bytes to read. It
// returns true if conn has no descriptor to inspect.
func Quiet(conn net.Conn) bool {
	quiet := false
	hasDescriptor := inspect(conn, func(descriptor uintptr) { quiet = peek(descriptor) == syscall.EAGAIN })
	return quiet || !hasDescriptor
}

// PeerClosed reports whether the peer has closed its side of a connection, even if bytes
// are still unread. It returns false if conn has no descriptor to inspect.
func PeerClosed(conn net.Conn) bool {
	closed := false
	inspect(conn, func(descriptor uintptr) {
		poll := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLRDHUP}}
		ready, err := unix.Poll(poll, 0)
		closed = err == nil && ready > 0 && poll[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return closed
}

// inspect calls a function with the descriptor of a connection, unless the connection
// was closed locally. It reports whether the connection has a descriptor.
func inspect(conn net.Conn, visit func(descriptor uintptr)) (hasDescriptor bool) {
	source, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	if raw, err := source.SyscallConn(); err == nil {
		_ = raw.Control(visit) // fails if the connection was closed locally
	}
	return true
}
