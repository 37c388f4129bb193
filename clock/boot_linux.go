//go:build linux && !cgo

package clock

import "golang.org/x/sys/unix"

// bootNanoseconds reads CLOCK_BOOTTIME by a system call.
func bootNanoseconds() int64 {
	var reading unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading) != nil {
		return -1
	}
	return reading.Nano()
}
