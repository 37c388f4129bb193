package settings

import "time"

// Times of a graceful stop, from its start, as shares of StopWithin.
const (
	// announceShare is the time until which the process still accepts requests, since
	// callers poll the readiness only from time to time.
	announceShare = 0.5
	// stopShare is the time after which the process aborts requests in flight. The rest
	// is for closing its listeners.
	stopShare = 0.9
)

// StopTimes returns how long a stopping process still accepts requests, and how long it then
// waits for requests in flight. Both are shares of StopWithin if that is set.
func (s *Settings) StopTimes() (announce, drain time.Duration) {
	if s.StopWithin == 0 {
		return s.AnnounceTime.Std(), s.DrainTimeout.Std()
	}
	whole := float64(s.StopWithin.Std())
	return time.Duration(whole * announceShare), time.Duration(whole * (stopShare - announceShare))
}
