//go:build race

package socket

import (
	"errors"
	"net"
	"syscall"
)

// Wrap returns conn.
func Wrap(conn net.Conn) net.Conn { return conn }

// peek looks for a byte that has come, without taking it.
func peek(descriptor uintptr) syscall.Errno {
	var one [1]byte
	_, _, err := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	var number syscall.Errno
	errors.As(err, &number)
	return number
}
