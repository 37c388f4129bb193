//go:build suspendedclock

package clock

import (
	"os"
	"strconv"
	"strings"
)

// offsetFile names the environment variable with the path of a file that holds the time in
// which the machine was suspended, in nanoseconds. Only programs that are built with the
// tag, for tests, know it.
const offsetFile = "LOOMCLEAT_TEST_SUSPENDED"

func init() {
	path := os.Getenv(offsetFile)
	Replace(func() Instant {
		data, _ := os.ReadFile(path)
		offset, _ := strconv.ParseInt(strings.TrimSpace(string(data)), 10, 64)
		return Instant(bootNanoseconds() + offset)
	})
}
