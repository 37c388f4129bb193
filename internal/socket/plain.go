//go:build !linux || race

package socket

import (
	"net"
	"syscall"
)

// Wrap returns conn.
func Wrap(conn net.Conn) net.Conn { return conn }

// Quiet reports whether nothing has come on an idle connection: neither bytes,
// nor its end, nor an error. It reports true when that cannot be told.
func Quiet(conn net.Conn) bool {
	source, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var one [1]byte
	err = raw.Control(func(descriptor uintptr) {
		_, _, problem := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = problem == syscall.EAGAIN
	})
	return err == nil && quiet
}
