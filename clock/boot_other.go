//go:build !linux

package clock

import (
	"runtime"
	"time"

	"github.com/loomcleat/loomcleat/result"
)

var started = time.Now()

// bootNanoseconds does not count suspensions and is for tests only: Check keeps
// processes from starting on this operating system.
func bootNanoseconds() int64 { return int64(time.Since(started)) }

// Check returns a result.SettingsInvalid error: loomcleat processes run on Linux only.
func Check() error {
	return result.New(result.SettingsInvalid, "%s has no supported clock that counts suspensions of the machine", runtime.GOOS)
}
