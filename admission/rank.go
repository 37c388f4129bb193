package admission

import "time"

// Ranks of requests that come again after a refusal, which is seen by the time that they
// have spent. One that came back after a while goes before most first tries: a gate that
// opens slowly after overload does not refuse it twice. It does not go before all of them:
// under lasting overload, a route would serve returned requests only then. One that did
// not wait goes last.
const (
	// returnedRanks is the part of the ranks, from 0, of those that waited.
	returnedRanks = 0.5
	// hastyRanks is the rank from which on those go that did not wait.
	hastyRanks = 0.6
	// hastyFrom is the time since the first try below which this is the first try.
	hastyFrom = 20 * time.Millisecond
	// waitedFrom is the time from which on a caller has waited: the least that any is
	// told, 100ms, less what clocks may differ by.
	waitedFrom = 90 * time.Millisecond
)

// Rank places a request among those of its route, from 0, the first that a Gate admits,
// up to 1. spent is the time since its first try; random is evenly spread from 0 up to 1.
func Rank(spent time.Duration, random float64) float64 {
	switch {
	case spent < hastyFrom:
		return random
	case spent < waitedFrom:
		return hastyRanks + random*(1-hastyRanks)
	default:
		return random * returnedRanks
	}
}
