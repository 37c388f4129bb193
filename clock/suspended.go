//go:build suspendedclock

package clock

import (
	"os"
	"strconv"
	"strings"

	"github.com/loomcleat/loomcleat/clock/internal/override"
)

// offsetFile names the environment variable with the path of a file that holds the time in
// which the machine was suspended, in nanoseconds. Only programs that are built with the
// tag, for tests, know it.
const offsetFile = "LOOMCLEAT_TEST_SUSPENDED"

func init() {
	path := os.Getenv(offsetFile)
	source := override.Source(func() int64 { return bootNanoseconds() + readOffset(path) })
	override.Active.Store(&source)
}

// readOffset returns the time of the file. A file that is missing or empty, as before the
// first suspension and while it is written, counts as no suspension.
func readOffset(path string) int64 {
	data, _ := os.ReadFile(path)
	offset, _ := strconv.ParseInt(strings.TrimSpace(string(data)), 10, 64)
	return offset
}
