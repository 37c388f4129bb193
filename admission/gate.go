package admission

import (
	"math"
	"time"
)

// Gate admits a share of the user requests of one kind where they enter, so that
// what is admitted can be served along its whole call graph. It learns from the
// pressure that admitted requests met further down: how long they waited for
// slots, as a multiple of what they should wait. Pressure above 1 lowers the
// share by a factor, pressure below 1 raises it by steps.
//
// A share that moves slowly costs less than a level that follows at once: what
// was admitted a moment ago is still on its way down when its effect is seen.
//
// Where it is reached: in the process at which a request of a caller outside the mesh
// enters, where the policy has a route table, one gate a route (plug-in shed). Without a
// route table, callers' processes refuse by level instead (levelControl, plug-in routing).
// Levels beside the back ends go on in both cases.
//
// It is not safe for concurrent use.
type Gate struct {
	share        float64   // that is admitted
	windowEnd    time.Time // of the window that samples are gathered in
	sum          float64   // of the pressure of its samples
	samples      int
	lastPressure float64 // of the last window with samples
}

// Constants of the gate. They are steps by windows of gateWindow; estimates, except
// where a comment gives a figure.
const (
	// gateWindow is the time between two adjustments. Longer is steadier, shorter
	// follows demand sooner.
	gateWindow = 100 * time.Millisecond
	// leastShare is admitted whatever the pressure, so that its fall can be seen.
	leastShare = 0.05
	// raiseStep is what the share rises by in a window without any pressure.
	raiseStep = 0.02
	// quietPressure is the pressure below which nothing waits to speak of, so that the
	// share may rise by quietStep in place of raiseStep: what a gate refuses after
	// overload has ended is lost for nothing.
	quietPressure = 0.25
	// 0.06 was tried: more requests failed.
	quietStep = 0.03
	// lowerStep is what the share falls by, as a part of it, for each 1 that the
	// pressure is above 1, and mostLowered the most in a window.
	lowerStep   = 0.01
	mostLowered = 0.06
	// fallingShare of the pressure of the window before counts as falling: a
	// queue that is being worked off needs no lower share.
	fallingShare = 0.97
	// mostWindows bounds the windows that one sample stands for. A gate that sees a
	// request a second moves as far in that second as one that sees hundreds.
	mostWindows = 10
	// probeAfterWindows is the number of windows without any sample after which the
	// share rises all the same: what is refused shows nothing.
	probeAfterWindows = 10
)

// NewGate returns a Gate that admits everything.
func NewGate(now time.Time) *Gate {
	return &Gate{share: 1, windowEnd: now.Add(gateWindow)}
}

// Share returns the share that is admitted, 0 to 1.
func (g *Gate) Share() float64 { return g.share }

// Reopens returns the time after which the gate admits everything again if the pressure
// ends now: the earliest at which a refused request surely finds room. It is a window at
// least, since nothing changes before.
func (g *Gate) Reopens() time.Duration {
	windows := max(math.Ceil((1-g.share)/quietStep), 1)
	return time.Duration(windows) * gateWindow
}

// Admit reports whether a request of a rank is admitted. Ranks are spread evenly
// from 0 up to 1; the lower ones are admitted first.
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

// adjust closes the window when its time is over. One without samples goes on until
// there is one: no evidence of pressure is no evidence of room.
func (g *Gate) adjust(now time.Time) {
	if now.Before(g.windowEnd) {
		return
	}
	windows := 1 + int(now.Sub(g.windowEnd)/gateWindow)
	if g.samples == 0 {
		g.tryOpening(windows - probeAfterWindows)
		return
	}
	g.windowEnd = g.windowEnd.Add(time.Duration(windows) * gateWindow)
	pressure := g.sum / float64(g.samples)
	g.sum, g.samples = 0, 0
	counted := float64(min(windows, mostWindows))
	switch {
	case pressure <= quietPressure:
		g.share += quietStep * (1 - pressure) * counted
	case pressure <= 1:
		g.share += raiseStep * (1 - pressure) * counted
	case pressure > g.lastPressure*fallingShare:
		g.share *= math.Pow(1-min(lowerStep*(pressure-1), mostLowered), counted)
	}
	g.lastPressure = pressure
	g.bound()
}

// tryOpening raises the share by the windows beyond those that a gate waits for a
// sample, and counts them as closed.
func (g *Gate) tryOpening(windows int) {
	if windows <= 0 {
		return
	}
	g.windowEnd = g.windowEnd.Add(time.Duration(windows) * gateWindow)
	g.share += raiseStep * float64(windows)
	g.bound()
}

func (g *Gate) bound() { g.share = min(max(g.share, leastShare), 1) }
