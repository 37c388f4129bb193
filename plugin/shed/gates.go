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

// gates holds the gates of one process.
type gates struct {
	process *kernel.Process
	mutex   sync.Mutex
	// Gates by the policy path of the route.
	byPath map[string]*routeGate
}

// routeGate is the gate of one route.
type routeGate struct {
	gate *admission.Gate
	// maximumTimeout is the longest timeout that a caller has sent, assumed to be that of first
	// attempts. A request with a shorter one has spent the difference on earlier attempts.
	maximumTimeout time.Duration
	// Last logged opening.
	opening opening
}

// opening is a coarse measure, for the log, of how far a gate is open.
type opening int

const (
	open     opening = iota // all requests are admitted
	narrowed                // at least half are admitted
	low                     // fewer than half are admitted
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

func (g *gates) middleware(next kernel.Handler) kernel.Handler {
	return kernel.HandlerFunc(func(call *kernel.Call) (*kernel.Answer, error) {
		if !call.Routed || !call.External {
			return next.Handle(call)
		}
		if share, admitted := g.admit(call); !admitted {
			return nil, result.New(result.ShedEarly, "route %s admits a share of %.2f now", call.Policy.Path, share).WithUsualRetryAfter()
		}
		started := time.Now()
		answer, err := next.Handle(call)
		g.done(call, pressureOf(call, answer, err, time.Since(started)))
		return answer, err
	})
}

// admit reports whether the call is admitted, and the share of calls that its gate admits. It
// sets call.CapacityAfter.
func (g *gates) admit(call *kernel.Call) (share float64, admitted bool) {
	now := time.Now()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	route := g.route(call, now)
	route.maximumTimeout = max(route.maximumTimeout, call.CallerTimeout)
	admitted = route.gate.Admit(now, admission.Rank(route.maximumTimeout-call.CallerTimeout, rand.Float64()))
	call.CapacityAfter = route.gate.ReopensAfter()
	return route.gate.Share(), admitted
}

// pressureOf returns the pressure of a finished call for the gate of its route.
func pressureOf(call *kernel.Call, answer *kernel.Answer, err error, taken time.Duration) float64 {
	failed := err != nil || answer.Failed()
	return admission.RoutePressure(call.Pressure, failed, taken, call.Policy.TargetLatency)
}

// done records the pressure of an admitted call and logs a change of the gate's opening.
func (g *gates) done(call *kernel.Call, pressure float64) {
	now := time.Now()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	route := g.route(call, now)
	route.gate.Done(now, pressure)
	share := route.gate.Share()
	if current := openingOf(share); current != route.opening {
		route.opening = current
		g.process.Log.Emit(event.GateMoved, "path", call.Policy.Path, "opening", openingNames[current], "share", share, "pressure", pressure)
	}
}

// route returns the gate of a call's route. The caller holds the mutex.
func (g *gates) route(call *kernel.Call, now time.Time) *routeGate {
	route, exists := g.byPath[call.Policy.Path]
	if !exists {
		route = &routeGate{gate: admission.NewGate(now)}
		g.byPath[call.Policy.Path] = route
	}
	return route
}
