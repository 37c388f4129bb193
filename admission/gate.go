package admission

import (
	"math"
	"time"
)

// Gate admits a share of the user requests of one route where they enter the mesh, so
// that the admitted ones can be served along their whole call graph. The share follows
// the pressure that admitted requests met downstream: their time in queues as a multiple
// of the queue time of the policy. Pressure above 1 lowers the share by a factor,
// pressure below 1 raises it in steps.
//
// The share moves slowly because its effect is delayed: requests that were admitted a
// moment ago are still on their way downstream.
//
// When the policy has a route table, the process where a request enters the mesh uses one
// gate per route (plug-in shed). Without a route table, the callers' processes refuse by
// level instead (levelControl, plug-in routing). The levels of the back ends apply in
// both cases.
//
// Gate is not safe for concurrent use.
type Gate struct {
	// Admitted share of requests.
	share float64
	// End of the current window.
	windowEnd time.Time
	// Sum and number of the pressure samples of the current window.
	sum     float64
	samples int
	// Mean pressure of the last window with samples.
	lastPressure float64
}

const (
	// gateWindow is the time between two adjustments. Longer is steadier, shorter
	// follows demand sooner.
	gateWindow = 100 * time.Millisecond
	// minimumShare is admitted at any pressure, so that falling pressure is noticed.
	minimumShare = 0.05
	// raiseStep is the increase of the share per window at pressure 0. It shrinks to 0 at
	// pressure 1.
	raiseStep = 0.02
	// lowPressure is the pressure up to which hardly any request waits. fastRaiseStep
	// replaces raiseStep then, so that few requests are refused needlessly after overload.
	lowPressure   = 0.25
	fastRaiseStep = 0.03
	// lowerStep is the relative decrease of the share per window for each unit of pressure
	// above 1, at most maximumDecrease.
	lowerStep       = 0.01
	maximumDecrease = 0.06
	// fallingRatio is the ratio to the previous window's pressure up to which pressure
	// counts as falling. The share is then not lowered, because the queues already drain.
	fallingRatio = 0.97
	// maximumWindows bounds the windows for which one sample counts. It lets a gate with
	// one request per second move about as far per second as a busy one.
	maximumWindows = 10
	// probeAfterWindows is the number of windows without samples after which the share
	// rises regardless: a gate that refuses everything gets no samples.
	probeAfterWindows = 10
)

// NewGate returns a Gate that admits everything.
func NewGate(now time.Time) *Gate {
	return &Gate{share: 1, windowEnd: now.Add(gateWindow)}
}

// Share returns the admitted share, 0 to 1.
func (g *Gate) Share() float64 { return g.share }

// ReopensAfter returns how long the gate takes to admit everything again if the pressure ends
// now, at least one window. A request that is refused now is admitted after that time.
func (g *Gate) ReopensAfter() time.Duration {
	windows := max(math.Ceil((1-g.share)/fastRaiseStep), 1)
	return time.Duration(windows) * gateWindow
}

// Admit reports whether a request of the given rank (Rank) is admitted. Ranks lie in
// [0, 1); lower ones are admitted first.
func (g *Gate) Admit(now time.Time, rank float64) bool {
	g.adjust(now)
	return rank < g.share
}

// Done records the pressure that an admitted request met.
func (g *Gate) Done(now time.Time, pressure float64) {
	g.adjust(now)
	g.sum += pressure
	g.samples++
}

// adjust closes the window when its time is over. A window without samples stays open,
// because missing samples do not prove that there is capacity.
func (g *Gate) adjust(now time.Time) {
	if now.Before(g.windowEnd) {
		return
	}
	windows := 1 + int(now.Sub(g.windowEnd)/gateWindow)
	if g.samples == 0 {
		g.raiseWithoutSamples(windows - probeAfterWindows)
		return
	}
	g.windowEnd = g.windowEnd.Add(time.Duration(windows) * gateWindow)
	pressure := g.sum / float64(g.samples)
	g.sum, g.samples = 0, 0
	counted := float64(min(windows, maximumWindows))
	switch {
	case pressure <= lowPressure:
		g.share += fastRaiseStep * (1 - pressure) * counted
	case pressure <= 1:
		g.share += raiseStep * (1 - pressure) * counted
	case pressure > g.lastPressure*fallingRatio:
		g.share *= math.Pow(1-min(lowerStep*(pressure-1), maximumDecrease), counted)
	}
	g.lastPressure = pressure
	g.clampShare()
}

// raiseWithoutSamples raises the share for a number of windows without samples and moves
// the end of the window by as many.
func (g *Gate) raiseWithoutSamples(windows int) {
	if windows <= 0 {
		return
	}
	g.windowEnd = g.windowEnd.Add(time.Duration(windows) * gateWindow)
	g.share += raiseStep * float64(windows)
	g.clampShare()
}

func (g *Gate) clampShare() { g.share = min(max(g.share, minimumShare), 1) }
