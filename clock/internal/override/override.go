// Package override holds the source that replaces the machine's clock in tests. Packages
// outside clock cannot import it: tests set the source through package clocktest, and
// programs under test through the build tag suspendedclock.
package override

import "sync/atomic"

// Source returns the reading of a clock, in nanoseconds.
type Source func() int64

// Active is the source that replaces the machine's clock, or nil.
var Active atomic.Pointer[Source]
