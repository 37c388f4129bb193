package retry

import "time"

// Bounds of the time until the answer to an attempt begins. Estimates.
const (
	// patientLatencies is how many usual latencies of its node an attempt may take.
	patientLatencies = 8
	// LeastTimeout is the least for a request that may run twice.
	LeastTimeout = 500 * time.Millisecond
	// leastClaimedTimeout is the least for one that may not: it goes on at its node, and
	// the next attempt only finds its claim and waits there for the same answer.
	leastClaimedTimeout = 2 * time.Second
)

// Attempt is what is known of an attempt that is about to be made.
type Attempt struct {
	// Repeatable says that the request may run twice.
	Repeatable bool
	// Retriable says that another attempt could follow: its body can be sent again, its
	// user request has a retry left, and there is another node.
	Retriable bool
	// SharedBudget is that of Situation.
	SharedBudget bool
	// Latency is the usual latency of the node, 0 when it is not known.
	Latency time.Duration
	// Left is the time until the deadline of the call.
	Left time.Duration
}

// Timeout returns the time within which the answer to an attempt must begin, so that a
// node that hangs leaves time for another. bounded is false when the attempt may last as
// long as its call.
//
// Where all processes share a retry budget, there may be none left for the next attempt,
// and what the back end has worked would be lost: silence is no reason to end an attempt
// there. Connections that are cut end by themselves.
func Timeout(a Attempt) (limit time.Duration, bounded bool) {
	if a.SharedBudget || !a.Retriable {
		return 0, false
	}
	least := LeastTimeout
	if !a.Repeatable {
		least = leastClaimedTimeout
	}
	return min(a.Left, max(patientLatencies*a.Latency, least)), true
}
