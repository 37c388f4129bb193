// Package clocktest replaces the clock of package clock, for tests of what happens while a
// machine is suspended. It relies on the switch that package clock reads.
package clocktest

import (
	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/clock/internal/override"
)

// Replace puts a source in the place of the machine's clock, for the whole test program,
// until restore is called.
func Replace(source func() clock.Instant) (restore func()) {
	reading := override.Source(func() int64 { return int64(source()) })
	before := override.Active.Swap(&reading)
	return func() { override.Active.Store(before) }
}
