package spread

import "time"

// Timing holds the times by which a process keeps its copy of a document up to date. Each way on
// which a revision can reach it must end within the bound, whatever other processes do:
//
//   - It reads the store when ReadDelay has passed since it learned of a higher revision, whether
//     those that hold it are silent or slow.
type Timing struct {
	// Bound is the time within which an accepted revision is in force in each process that reaches
	// the store.
	Bound time.Duration
	// ReadDelay is the time after the first news of a higher revision after which a process that does
	// not have it reads the store itself.
	ReadDelay time.Duration
	// HedgeDelay is the time after which a fetch that is not answered is followed by one from another
	// peer.
	HedgeDelay time.Duration
}

// Times as shares of the bound.
const (
	readDelayShare = 0.2
	hedgeShare     = 0.1
)

// TimingFor returns the times for a bound.
func TimingFor(bound time.Duration) Timing {
	share := func(part float64) time.Duration { return time.Duration(part * float64(bound)) }
	return Timing{
		Bound:      bound,
		ReadDelay:  share(readDelayShare),
		HedgeDelay: share(hedgeShare),
	}
}
