// Package override is the switch by which another source takes the place of the machine's
// clock. It owns nothing but that switch. Packages outside clock can't import it: tests use
// package clocktest, and the build tag suspendedclock sets it in programs that are tested.
package override

import "sync/atomic"

// Source reads a clock, in nanoseconds.
type Source func() int64

// Active is the source in the place of the machine's clock, nil for none.
var Active atomic.Pointer[Source]
