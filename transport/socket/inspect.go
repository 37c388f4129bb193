package socket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Quiet reports whether nothing has come on an idle connection: neither bytes,
// nor its end, nor an error. It reports true when that cannot be told.
func Quiet(conn net.Conn) bool {
	quiet := false
	hasDescriptor := inspect(conn, func(descriptor uintptr) { quiet = peek(descriptor) == syscall.EAGAIN })
	return quiet || !hasDescriptor
}

// Ended reports whether the other side has closed a connection, whatever it has sent
// before. It reports false when that cannot be told.
func Ended(conn net.Conn) bool {
	ended := false
	inspect(conn, func(descriptor uintptr) {
		poll := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLRDHUP}}
		ready, err := unix.Poll(poll, 0)
		ended = err == nil && ready > 0 && poll[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return ended
}

// inspect shows the descriptor of a connection to a function, unless the connection was
// closed on this side. It reports false when a connection has no descriptor to show.
func inspect(conn net.Conn, show func(descriptor uintptr)) (hasDescriptor bool) {
	source, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	if raw, err := source.SyscallConn(); err == nil {
		_ = raw.Control(show) // it fails when the connection was closed on this side
	}
	return true
}
