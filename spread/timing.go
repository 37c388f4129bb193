package spread

import "time"

// Timing holds the times by which a process keeps its copy of a document up to date. Each way on
// which a revision can reach it must end within the bound, whatever other processes do:
//
//   - It reads the store when ReadAge has passed since its copy was known to be the newest one,
//     whether peers are silent, don't list it or all those that watch the store are gone.
//   - It reads the store when ReadDelay has passed since it learned of a higher revision, whether
//     those that hold it are silent or slow.
//
// Before that it asks peers, so that the store has few readers while these answer.
type Timing struct {
	// WaitAge is the age of what a process that watches the store knows up to which it waits for a
	// change; then it must know anew.
	WaitAge time.Duration
	// RequestAge is the age of what a process knows above which it asks a process that watches the
	// store.
	RequestAge time.Duration
	// ReadAge is the age of what a process knows above which it reads the store itself.
	ReadAge time.Duration
	// ReadDelay is the time after the first news of a higher revision after which a process that does
	// not have it reads the store itself.
	ReadDelay time.Duration
	// HedgeDelay is the time after which a fetch that is not answered is followed by one from another
	// peer.
	HedgeDelay time.Duration
	// PeerTimeout bounds a request to a process that watches the store.
	PeerTimeout time.Duration
	// ReadTimeout bounds the first read of the store; later ones, after failures, take longer.
	ReadTimeout time.Duration
	// CheckInterval is the time between two checks of these ages.
	CheckInterval time.Duration
}

// Times as shares of the bound. ReadAge, CheckInterval and two reads, of which the first one is lost,
// take 0.95 of it.
const (
	waitShare        = 0.35
	requestShare     = 0.45
	readShare        = 0.6
	readDelayShare   = 0.2
	hedgeShare       = 0.1
	peerTimeoutShare = 0.1
	readTimeoutShare = 0.15
	checkShare       = 0.05
)

// TimingFor returns the times for a bound: the time within which an accepted revision is in force in
// each process that reaches the store.
func TimingFor(bound time.Duration) Timing {
	share := func(part float64) time.Duration { return time.Duration(part * float64(bound)) }
	return Timing{
		WaitAge:       share(waitShare),
		RequestAge:    share(requestShare),
		ReadAge:       share(readShare),
		ReadDelay:     share(readDelayShare),
		HedgeDelay:    share(hedgeShare),
		PeerTimeout:   share(peerTimeoutShare),
		ReadTimeout:   share(readTimeoutShare),
		CheckInterval: share(checkShare),
	}
}
