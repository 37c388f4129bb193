// Package clocktest replaces the clock of package clock in tests, for example to simulate
// a suspension of the machine. It sets the source that package override holds.
package clocktest

import (
	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/clock/internal/override"
)

// Replace makes clock.Now read a source instead of the machine's clock, in the whole test
// program, until restore is called.
func Replace(source func() clock.Instant) (restore func()) {
	reading := override.Source(func() int64 { return int64(source()) })
	before := override.Active.Swap(&reading)
	return func() { override.Active.Store(before) }
}
