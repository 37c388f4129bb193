//go:build suspendedclock

package clock

import (
	"os"
	"strconv"
	"strings"

	"github.com/loomcleat/loomcleat/clock/internal/override"
)

// offsetFileVariable is the environment variable with the path of a file that holds the
// simulated time of suspension, in nanoseconds. Only programs built with the tag
// suspendedclock, for tests, read it.
const offsetFileVariable = "LOOMCLEAT_TEST_SUSPENDED"

func init() {
	path := os.Getenv(offsetFileVariable)
	source := override.Source(func() int64 { return bootNanoseconds() + readOffset(path) })
	override.Active.Store(&source)
}

// readOffset returns the time of suspension from the file. It is 0 if the file is missing
// or empty, as before the first suspension or while the file is being written.
func readOffset(path string) int64 {
	data, _ := os.ReadFile(path)
	offset, _ := strconv.ParseInt(strings.TrimSpace(string(data)), 10, 64)
	return offset
}
