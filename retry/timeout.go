package retry

import "time"

const (
	// timeoutLatencies multiplies the usual latency of a node to get the timeout of an
	// attempt.
	timeoutLatencies = 8
	// MinimumTimeout is the minimum timeout of a request that may run twice.
	MinimumTimeout = 500 * time.Millisecond
	// minimumClaimedTimeout is the minimum timeout of a request that must not run twice. It
	// is longer because the request keeps running at its node; the next attempt would find
	// its claim and wait for the same answer.
	minimumClaimedTimeout = 2 * time.Second
)

// Attempt is the input of Timeout: an attempt that is about to be made.
type Attempt struct {
	// Repeatable reports that the request may run twice.
	Repeatable bool
	// Retriable reports that another attempt could follow: the body can be sent again, the
	// user request has a retry left, and there is another node.
	Retriable bool
	// SharedBudget is Situation.SharedBudget.
	SharedBudget bool
	// Latency is the usual latency of the node, 0 if unknown.
	Latency time.Duration
	// Left is the time until the deadline of the call.
	Left time.Duration
}

// Timeout returns the time within which the answer to an attempt must begin, so that a
// node that hangs leaves time for another attempt. bounded is false if the attempt may last
// as long as its call.
//
// With a shared retry budget, attempts have no timeout: no retry may be left, and ending
// the attempt would waste the work of the back end. Broken connections still end an
// attempt.
func Timeout(a Attempt) (limit time.Duration, bounded bool) {
	if a.SharedBudget || !a.Retriable {
		return 0, false
	}
	minimum := MinimumTimeout
	if !a.Repeatable {
		minimum = minimumClaimedTimeout
	}
	return min(a.Left, max(timeoutLatencies*a.Latency, minimum)), true
}
