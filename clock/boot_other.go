//go:build !linux

package clock

import (
	"runtime"
	"time"

	"github.com/loomcleat/loomcleat/result"
)

var started = time.Now()

// bootNanoseconds is good for tests alone: processes do not start here.
func bootNanoseconds() int64 { return int64(time.Since(started)) }

// Check returns a result.SettingsInvalid error: processes do not start here.
func Check() error {
	return result.New(result.SettingsInvalid, "no clock that counts suspensions is known of %s", runtime.GOOS)
}
