package admission

import "time"

// The rank of a request depends on the time since its first attempt. A request retried by
// the client after a sufficient delay goes before most first attempts, so that a gate
// that opens slowly after overload does not refuse it twice. It does not go before all of
// them, because under lasting overload a route would then serve only retried requests.
// A request retried too early goes last.
const (
	// retriedRankLimit is the upper bound of the ranks of requests retried after
	// minimumRetryDelay.
	retriedRankLimit = 0.5
	// earlyRetryMinimumRank is the lowest rank of requests retried earlier than that.
	earlyRetryMinimumRank = 0.6
	// firstAttemptTime is the time since the first attempt below which a request counts
	// as the first attempt.
	firstAttemptTime = 20 * time.Millisecond
	// minimumRetryDelay is the time after which a retry is not early: the shortest delay
	// that a client is asked to wait, 100ms, less an allowance for clock differences.
	minimumRetryDelay = 90 * time.Millisecond
)

// Rank returns the rank of a request among those of its route, in [0, 1). A Gate admits
// lower ranks first. spent is the time since the first attempt; random is uniformly
// distributed in [0, 1).
func Rank(spent time.Duration, random float64) float64 {
	switch {
	case spent < firstAttemptTime:
		return random
	case spent < minimumRetryDelay:
		return earlyRetryMinimumRank + random*(1-earlyRetryMinimumRank)
	default:
		return random * retriedRankLimit
	}
}
