package retrybudget

import "time"

// SharedConfig configures a Shared.
type SharedConfig struct {
	// Ratio is the share of the requests for a service that all processes
	// together may add to it in a window, 0 to 1.
	Ratio float64
	// Slack is the number of repeated attempts that all processes together may
	// make in a window beyond that.
	Slack int
	// Window is the length of a window. Every span of this length counts.
	Window time.Duration
}

// Shared bounds the repeated attempts that one process sends to one service so
// that those of all processes together stay within a common bound in every
// window. It asks nobody: the part that follows the requests is exact, since
// each process counts its own, and the fixed part is divided by the number of
// processes. A process that has just started may follow one that had spent its
// part, so that it has none of the fixed part in its first window.
//
// It is not safe for concurrent use.
type Shared struct {
	config  SharedConfig
	started time.Time
	slices  [sharedSlices]sharedSlice
}

// sharedSlices is the number of parts that a window is counted in. One more
// than a window is kept, so that a span that begins within a slice is covered.
const (
	slicesInWindow = 20
	sharedSlices   = slicesInWindow + 2
)

// sharedSlice counts what happened in one part of a window.
type sharedSlice struct {
	number   int64 // of the slice since the start
	requests int
	repeats  int
}

// NewShared returns a Shared of a process that started at the given time.
func NewShared(config SharedConfig, started time.Time) *Shared {
	return &Shared{config: config, started: started}
}

// slice returns the slice of a time, emptied when it was of an earlier one.
func (s *Shared) slice(now time.Time) *sharedSlice {
	number := s.number(now)
	current := &s.slices[number%sharedSlices]
	if current.number != number {
		*current = sharedSlice{number: number}
	}
	return current
}

func (s *Shared) number(now time.Time) int64 {
	return int64(max(now.Sub(s.started), 0) / (s.config.Window / slicesInWindow))
}

// Request records a request for the service.
func (s *Shared) Request(now time.Time) { s.slice(now).requests++ }

// Repeat records a repeated attempt that was made whatever the bound says.
func (s *Shared) Repeat(now time.Time) { s.slice(now).repeats++ }

// ratioShare is the part of the ratio that is used. The rest covers that other processes
// may count other requests into a window than this one does. Estimate, held against every
// window by TestSharedKeepsTheCommonBoundInEveryWindow.
const ratioShare = 0.7

// rounding is what products of fractions may lack of a whole number.
const rounding = 1e-9

// openShare is the part of the budget that any request may use. The rest is open to a
// request by its rank. When a service turns much away, the budget is far smaller than
// the demand; spread over all, it would complete hardly any request that needs several
// repeats, and the urgent ones least, since they are often the larger ones. All
// processes rank the same requests first. With half, the ranks that may use the rest
// settle where demand fits, and single faults in calm times meet no limit.
const openShare = 0.5

// Spend records a repeated attempt if the bound leaves room for it, and reports
// whether it does. processes is the number of processes that share the slack;
// too high a number is safe, too low a one is not. rank is that of the user request,
// 0 to 1; the higher ones may use more of the budget.
func (s *Shared) Spend(now time.Time, processes int, rank float64) bool {
	requests, repeats := s.recent(now)
	allowed := s.config.Ratio * ratioShare * float64(requests)
	if now.Sub(s.started) >= s.config.Window {
		allowed += float64(s.config.Slack) / float64(max(processes, 1))
	}
	ranked := allowed * (openShare + (1-openShare)*min(max(rank, 0), 1))
	if float64(repeats+1) > max(ranked, min(allowed, 1))+rounding {
		return false
	}
	s.Repeat(now)
	return true
}

// recent adds up a window.
func (s *Shared) recent(now time.Time) (requests, repeats int) {
	latest := s.number(now)
	for i := range s.slices {
		counted := &s.slices[i]
		age := latest - counted.number
		if age < 0 || age >= sharedSlices {
			continue
		}
		repeats += counted.repeats
		if age < slicesInWindow {
			requests += counted.requests
		}
	}
	return requests, repeats
}
