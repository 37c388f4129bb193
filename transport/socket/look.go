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
	looked := look(conn, func(descriptor uintptr) { quiet = peek(descriptor) == syscall.EAGAIN })
	return quiet || looked == untold
}

// Ended reports whether the other side has closed a connection, whatever it has sent
// before. It reports false when that cannot be told.
func Ended(conn net.Conn) bool {
	ended := false
	look(conn, func(descriptor uintptr) {
		poll := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLRDHUP}}
		ready, err := unix.Poll(poll, 0)
		ended = err == nil && ready > 0 && poll[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return ended
}

// sight is how a look at a descriptor went.
type sight int

const (
	seen   sight = iota
	closed       // on this side
	untold       // the connection shows no descriptor
)

// look shows the descriptor of a connection to a function.
func look(conn net.Conn, show func(descriptor uintptr)) sight {
	source, ok := conn.(syscall.Conn)
	if !ok {
		return untold
	}
	raw, err := source.SyscallConn()
	if err != nil || raw.Control(show) != nil {
		return closed
	}
	return seen
}
