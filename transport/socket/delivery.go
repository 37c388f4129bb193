package socket

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ErrReset is returned by AwaitDelivery for a connection that the peer has reset.
var ErrReset = errors.New("the peer has reset the connection")

// Pauses between two checks of AwaitDelivery, which double from one to the next.
const (
	firstDeliveryPause   = 100 * time.Microsecond
	longestDeliveryPause = 10 * time.Millisecond
)

// AwaitDelivery returns nil once the peer has received all bytes written to a connection and has not
// reset it, which a reader of the connection may not notice: the system reports a reset only once,
// and a writer may have got the report. It returns ErrReset after a reset, and net.ErrClosed if the
// connection is closed locally, which also ends a wait. It returns nil if conn has no descriptor to
// inspect.
func AwaitDelivery(conn net.Conn) error {
	for pause := firstDeliveryPause; ; pause = min(2*pause, longestDeliveryPause) {
		state := net.ErrClosed
		hasDescriptor := inspect(conn, func(descriptor uintptr) { state = deliveryState(int(descriptor)) })
		if !hasDescriptor {
			return nil
		}
		if !errors.Is(state, errUndelivered) {
			return state
		}
		time.Sleep(pause)
	}
}

// errUndelivered means that the peer has not acknowledged all bytes yet.
var errUndelivered = errors.New("bytes are not acknowledged")

// deliveryState returns nil, ErrReset or errUndelivered. The unacknowledged bytes are counted first:
// the reset that answers one of them may arrive between the two checks.
func deliveryState(descriptor int) error {
	pending, err := unix.IoctlGetInt(descriptor, unix.SIOCOUTQ)
	undelivered := err == nil && pending > 0
	poll := []unix.PollFd{{Fd: int32(descriptor)}} // hang-ups and errors are always reported
	ready, err := unix.Poll(poll, 0)
	if err != nil && !errors.Is(err, syscall.EINTR) {
		return err
	}
	if ready > 0 && poll[0].Revents&(unix.POLLHUP|unix.POLLERR) != 0 {
		return ErrReset
	}
	if undelivered || err != nil {
		return errUndelivered
	}
	return nil
}
