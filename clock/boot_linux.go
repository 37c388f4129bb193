//go:build linux && !cgo

package clock

import "golang.org/x/sys/unix"

// bootNanoseconds reads CLOCK_BOOTTIME by a system call. It returns -1 if the kernel
// does not have that clock.
func bootNanoseconds() int64 {
	var reading unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading) != nil {
		return -1
	}
	return reading.Nano()
}
