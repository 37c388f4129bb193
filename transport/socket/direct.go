//go:build !race

package socket

import (
	"io"
	"net"
	"os"
	"syscall"
	"unsafe"
)

// Wrap returns a connection that reads and writes the socket of conn directly.
// It returns conn itself if that is not a TCP connection.
func Wrap(conn net.Conn) net.Conn {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return conn
	}
	return &direct{TCPConn: tcp, raw: raw}
}

// direct is a TCP connection that makes system calls without notifying the
// scheduler. Deadlines and Close work as in the net package.
type direct struct {
	*net.TCPConn
	raw syscall.RawConn
}

// Read implements net.Conn.
func (d *direct) Read(data []byte) (int, error) {
	if len(data) == 0 {
		return 0, nil
	}
	var read uintptr
	var number syscall.Errno
	err := d.raw.Read(func(descriptor uintptr) bool {
		read, number = retry(syscall.SYS_READ, descriptor, data)
		return number != syscall.EAGAIN
	})
	switch {
	case err != nil:
		return 0, err
	case number != 0:
		return 0, d.opError("read", number)
	case read == 0:
		return 0, io.EOF
	}
	return int(read), nil
}

// Write implements net.Conn.
func (d *direct) Write(data []byte) (int, error) {
	total := 0
	for total < len(data) {
		written, err := d.writeSome(data[total:])
		total += written
		if err != nil {
			return total, err
		}
	}
	return total, nil
}

// writeSome writes at least one byte, as many as the socket buffer has room for.
func (d *direct) writeSome(data []byte) (int, error) {
	var written uintptr
	var number syscall.Errno
	err := d.raw.Write(func(descriptor uintptr) bool {
		written, number = retry(syscall.SYS_WRITE, descriptor, data)
		return number != syscall.EAGAIN
	})
	if err != nil {
		return 0, err
	}
	if number != 0 {
		return 0, d.opError("write", number)
	}
	return int(written), nil
}

// retry makes a system call on a descriptor and a buffer, and repeats it while it
// is interrupted by a signal.
func retry(trap, descriptor uintptr, data []byte) (uintptr, syscall.Errno) {
	for {
		count, _, number := syscall.RawSyscall(trap, descriptor, uintptr(unsafe.Pointer(&data[0])), uintptr(len(data)))
		switch number {
		case 0:
			return count, 0
		case syscall.EINTR:
		default:
			return 0, number
		}
	}
}

// opError returns the error that the net package returns for a failed system call.
func (d *direct) opError(operation string, number syscall.Errno) error {
	return &net.OpError{
		Op:     operation,
		Net:    "tcp",
		Source: d.LocalAddr(),
		Addr:   d.RemoteAddr(),
		Err:    os.NewSyscallError(operation, number),
	}
}

// peek reads a byte without removing it from the socket's receive buffer, and
// returns the error number of the call. It does not block.
func peek(descriptor uintptr) syscall.Errno {
	var one [1]byte
	_, _, number := syscall.RawSyscall6(syscall.SYS_RECVFROM, descriptor, uintptr(unsafe.Pointer(&one[0])),
		uintptr(len(one)), syscall.MSG_PEEK|syscall.MSG_DONTWAIT, 0, 0)
	return number
}
