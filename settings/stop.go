package settings

import "time"

// Times of a graceful stop, from its start, as shares of StopWithin.
const (
	// announceShare is the time until which the process still accepts requests, since
	// callers poll the readiness only from time to time.
	announceShare = 0.5
	// drainShare is the time after which the process ends the requests in flight.
	drainShare = 0.9
	// stopShare is the time after which the process ends. The rest is a margin.
	stopShare = 0.96
)

// defaultCloseTime is the CloseTime without StopWithin.
const defaultCloseTime = 2 * time.Second

// StopTimes are the times of the steps of a graceful stop, which follow one another.
type StopTimes struct {
	// Announce is how long the process still accepts requests.
	Announce time.Duration
	// Drain is how long it then waits for requests in flight.
	Drain time.Duration
	// Close is how long it takes at most to answer the requests that it ends, and to close
	// its connections.
	Close time.Duration
}

// Whole returns the time of the whole stop.
func (t StopTimes) Whole() time.Duration { return t.Announce + t.Drain + t.Close }

// StopTimes returns the times of a graceful stop: shares of StopWithin if that is set.
func (s *Settings) StopTimes() StopTimes {
	if s.StopWithin == 0 {
		return StopTimes{Announce: s.AnnounceTime.Std(), Drain: s.DrainTimeout.Std(), Close: defaultCloseTime}
	}
	share := func(part float64) time.Duration { return time.Duration(part * float64(s.StopWithin.Std())) }
	return StopTimes{
		Announce: share(announceShare),
		Drain:    share(drainShare - announceShare),
		Close:    share(stopShare - drainShare),
	}
}
