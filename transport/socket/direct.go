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
// It returns conn itself when that is no TCP connection.
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

// direct is a TCP connection whose system calls are not announced to the
// scheduler. Deadlines and Close work as those of the net package.
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
		return 0, d.failed("read", number)
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

// writeSome writes what the socket takes now, one byte at least.
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
		return 0, d.failed("write", number)
	}
	return int(written), nil
}

// retry makes a system call on a descriptor and a buffer again while a signal
// interrupts it.
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

// failed returns the error that the net package would return.
func (d *direct) failed(operation string, number syscall.Errno) error {
	return &net.OpError{
		Op:     operation,
		Net:    "tcp",
		Source: d.LocalAddr(),
		Addr:   d.RemoteAddr(),
		Err:    os.NewSyscallError(operation, number),
	}
}

// peek looks for a byte that has come, without taking it.
func peek(descriptor uintptr) syscall.Errno {
	var one [1]byte
	_, _, number := syscall.RawSyscall6(syscall.SYS_RECVFROM, descriptor, uintptr(unsafe.Pointer(&one[0])),
		uintptr(len(one)), syscall.MSG_PEEK|syscall.MSG_DONTWAIT, 0, 0)
	return number
}
