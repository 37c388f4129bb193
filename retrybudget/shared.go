package retrybudget

import "time"

// SharedConfig configures a Shared.
type SharedConfig struct {
	// Ratio is the number of retries that all processes together may make in a window, as
	// a share of the requests for the service, 0 to 1.
	Ratio float64
	// Slack is the number of retries that all processes together may make in a window in
	// addition.
	Slack int
	// Window is the length of a window. The bound holds for every span of this length.
	Window time.Duration
}

// Shared bounds the retries of one process to one service such that those of all processes
// together stay within a common bound in every window. It needs no communication: each
// process counts its own requests for the ratio, and the slack is divided by the number of
// processes. A process gets no slack in its first window, because a predecessor may have
// used it up before a restart.
//
// Shared is not safe for concurrent use.
type Shared struct {
	config  SharedConfig
	started time.Time
	slices  [keptSlices]timeSlice
}

const (
	// slicesInWindow is the number of time slices of a window.
	slicesInWindow = 20
	// keptSlices exceeds a window by two slices. Retries are counted in all of them, so
	// that a span which begins or ends within a slice is covered.
	keptSlices = slicesInWindow + 2
)

// timeSlice counts the requests and retries in one part of a window.
type timeSlice struct {
	// Number of the slice since the start of the process.
	number   int64
	requests int
	retries  int
}

// NewShared returns a Shared of a process that started at the given time.
func NewShared(config SharedConfig, started time.Time) *Shared {
	return &Shared{config: config, started: started}
}

// sliceAt returns the slice of a time. It resets a slice that was in use for an earlier time.
func (s *Shared) sliceAt(now time.Time) *timeSlice {
	number := s.sliceNumber(now)
	current := &s.slices[number%keptSlices]
	if current.number != number {
		*current = timeSlice{number: number}
	}
	return current
}

func (s *Shared) sliceNumber(now time.Time) int64 {
	return int64(max(now.Sub(s.started), 0) / (s.config.Window / slicesInWindow))
}

// RecordRequest records a request for the service.
func (s *Shared) RecordRequest(now time.Time) { s.sliceAt(now).requests++ }

// RecordRetry records a retry that was made regardless of the bound.
func (s *Shared) RecordRetry(now time.Time) { s.sliceAt(now).retries++ }

// usedRatio is the share of the ratio that is used. The rest allows for differences between
// the windows of the processes.
const usedRatio = 0.7

// roundingTolerance makes up for rounding errors in the bound.
const roundingTolerance = 1e-9

// unrankedShare is the share of the budget that every request may use. The higher the rank
// of a request, the more of the rest it may use. When a service refuses many requests, the
// budget is far smaller than the demand. Spread evenly, it would complete hardly any request
// that needs several retries. Since all processes compute the same ranks, the budget goes to
// the same requests everywhere.
const unrankedShare = 0.5

// Spend records a retry if the bound allows it, and reports whether it does. processes is
// the number of processes that share the slack; a number that is too high is safe, one that
// is too low is not. rank is that of the user request, 0 to 1; higher ranks may use more of
// the budget.
func (s *Shared) Spend(now time.Time, processes int, rank float64) bool {
	requests, retries := s.recent(now)
	allowed := s.config.Ratio * usedRatio * float64(requests)
	if now.Sub(s.started) >= s.config.Window {
		allowed += float64(s.config.Slack) / float64(max(processes, 1))
	}
	ranked := allowed * (unrankedShare + (1-unrankedShare)*min(max(rank, 0), 1))
	if float64(retries+1) > max(ranked, min(allowed, 1))+roundingTolerance {
		return false
	}
	s.RecordRetry(now)
	return true
}

// recent returns the numbers of requests and retries in the window that ends now.
func (s *Shared) recent(now time.Time) (requests, retries int) {
	latest := s.sliceNumber(now)
	for i := range s.slices {
		counted := &s.slices[i]
		age := latest - counted.number
		if age < 0 || age >= keptSlices {
			continue
		}
		retries += counted.retries
		if age < slicesInWindow {
			requests += counted.requests
		}
	}
	return requests, retries
}
