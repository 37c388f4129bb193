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
	byPath  map[string]*routeGate // by the path of the policy
}

// routeGate is the gate of one route.
type routeGate struct {
	gate *admission.Gate
	// firstPatience is the most time that a caller gave a request: that of a first try.
	// What a request has less, it has spent on tries that were refused.
	firstPatience time.Duration
	opening       opening // as it was last logged
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

// admit reports whether the call is admitted, and the share that is. It notes when there
// may be room for a call that is refused.
func (g *gates) admit(call *kernel.Call) (share float64, admitted bool) {
	now := time.Now()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	found := g.route(call, now)
	found.firstPatience = max(found.firstPatience, call.Patience)
	admitted = found.gate.Admit(now, admission.Rank(found.firstPatience-call.Patience, rand.Float64()))
	call.RoomAfter = found.gate.Reopens()
	return found.gate.Share(), admitted
}

// pressureOf returns the pressure that a call counts at the gate of its route.
func pressureOf(call *kernel.Call, answer *kernel.Answer, err error, taken time.Duration) float64 {
	failed := err != nil || answer.Failed()
	return admission.RoutePressure(call.Pressure, failed, taken, call.Policy.TargetLatency)
}

// done records the pressure that an admitted call met, and logs when the gate has moved
// from one opening to another.
func (g *gates) done(call *kernel.Call, pressure float64) {
	now := time.Now()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	found := g.route(call, now)
	found.gate.Done(now, pressure)
	share := found.gate.Share()
	if moved := openingOf(share); moved != found.opening {
		found.opening = moved
		g.process.Log.Emit(event.GateMoved, "path", call.Policy.Path, "opening", openingNames[moved], "share", share, "pressure", pressure)
	}
}

// route returns the gate of a call's route. The mutex is held.
func (g *gates) route(call *kernel.Call, now time.Time) *routeGate {
	found, exists := g.byPath[call.Policy.Path]
	if !exists {
		found = &routeGate{gate: admission.NewGate(now)}
		g.byPath[call.Policy.Path] = found
	}
	return found
}
