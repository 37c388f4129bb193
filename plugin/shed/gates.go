package shed

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/loomcleat/loomcleat/admission"
	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/result"
)

// shed holds the gates of one process.
type shed struct {
	process *kernel.Process
	mutex   sync.Mutex
	gates   map[string]*route // by the path of the policy
}

// route is the gate of one route.
type route struct {
	gate *admission.Gate
	// longest is the most time that a caller gave a request: that of a first try.
	longest time.Duration
	opening opening // as it was last logged
}

// opening is how far a gate is open, as operators want to know it.
type opening int

const (
	open     opening = iota // everything is admitted
	narrowed                // half or more
	low                     // less than half
)

var openingNames = []string{"open", "narrowed", "low"}

func openingOf(share float64) opening {
	switch {
	case share >= 1:
		return open
	case share >= 0.5:
		return narrowed
	default:
		return low
	}
}

func (s *shed) middleware(next kernel.Handler) kernel.Handler {
	return kernel.HandlerFunc(func(call *kernel.Call) (*kernel.Answer, error) {
		if !call.Routed || !call.External {
			return next.Handle(call)
		}
		if share, admitted := s.admit(call); !admitted {
			return nil, result.New(result.ShedEarly, "route %s admits a share of %.2f now", call.Policy.Path, share).WithUsualRetryAfter()
		}
		started := time.Now()
		answer, err := next.Handle(call)
		s.done(call, pressureOf(call, answer, err, time.Since(started)))
		return answer, err
	})
}

// admit reports whether the call is admitted, and the share that is.
func (s *shed) admit(call *kernel.Call) (share float64, admitted bool) {
	now := time.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found := s.route(call, now)
	found.longest = max(found.longest, call.Patience)
	admitted = found.gate.Admit(now, admission.Rank(found.longest-call.Patience, rand.Float64()))
	call.RoomAfter = found.gate.Reopens()
	return found.gate.Share(), admitted
}

// pressureOf returns the pressure that a call counts at the gate of its route.
func pressureOf(call *kernel.Call, answer *kernel.Answer, err error, taken time.Duration) float64 {
	failed := err != nil || answer.Failed()
	return admission.RoutePressure(call.Pressure, failed, taken, call.Policy.TargetLatency)
}

func (s *shed) done(call *kernel.Call, pressure float64) {
	now := time.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found := s.route(call, now)
	found.gate.Done(now, pressure)
	share := found.gate.Share()
	if now := openingOf(share); now != found.opening {
		found.opening = now
		s.process.Log.Emit(event.GateMoved, "path", call.Policy.Path, "opening", openingNames[now], "share", share, "pressure", pressure)
	}
}

// route returns the route of a call. The mutex is held.
func (s *shed) route(call *kernel.Call, now time.Time) *route {
	found, exists := s.gates[call.Policy.Path]
	if !exists {
		found = &route{gate: admission.NewGate(now, admission.GateConfig{})}
		s.gates[call.Policy.Path] = found
	}
	return found
}
