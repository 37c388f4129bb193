//go:build race

package socket

import (
	"errors"
	"net"
	"syscall"
)

// Wrap returns conn unchanged.
func Wrap(conn net.Conn) net.Conn { return conn }

// peek reads a byte without removing it from the socket's receive buffer, and
// returns the error number of the call. It does not block.
func peek(descriptor uintptr) syscall.Errno {
	var one [1]byte
	_, _, err := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	var number syscall.Errno
	errors.As(err, &number)
	return number
}
