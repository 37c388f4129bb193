package settings

import "time"

// Shares of StopWithin. Callers look at the readiness only now and then, so that requests
// are taken for a while; the rest is for those in flight then. Estimates.
const (
	// announceShare is the time for which requests are still taken.
	announceShare = 0.5
	// stopShare is the time after which the process ends whatever is in flight, which
	// leaves a tenth for closing its listeners.
	stopShare = 0.9
)

// StopTimes returns how long a process that was told to stop still takes
// requests, and how long it then waits for those in flight.
func (s *Settings) StopTimes() (announce, drain time.Duration) {
	if s.StopWithin == 0 {
		return s.AnnounceTime.Std(), s.DrainTimeout.Std()
	}
	whole := float64(s.StopWithin.Std())
	return time.Duration(whole * announceShare), time.Duration(whole * (stopShare - announceShare))
}
