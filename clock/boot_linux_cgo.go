//go:build linux && cgo

package clock

// #include <time.h>
//
// static long long boot_nanoseconds(void) {
// 	struct timespec reading;
// 	if (clock_gettime(CLOCK_BOOTTIME, &reading) != 0) {
// 		return -1;
// 	}
// 	return reading.tv_sec * 1000000000LL + reading.tv_nsec;
// }
import "C"

// bootNanoseconds reads CLOCK_BOOTTIME through the C library, which uses the vDSO and
// needs no system call. It returns -1 if the kernel does not have that clock.
func bootNanoseconds() int64 { return int64(C.boot_nanoseconds()) }
