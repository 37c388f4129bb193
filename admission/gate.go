package admission

import "time"

// GateConfig configures a Gate.
type GateConfig struct {
	// Window is the time between two adjustments. Longer is steadier, shorter
	// follows demand sooner. Default 100ms.
	Window time.Duration
	// LeastShare is the share that is admitted whatever the pressure, so that
	// its fall can be seen. Default 0.05.
	LeastShare float64
}

func (c *GateConfig) setDefaults() {
	if c.Window == 0 {
		c.Window = defaultGateWindow
	}
	if c.LeastShare == 0 {
		c.LeastShare = defaultLeastShare
	}
}

// Gate admits a share of the user requests of one kind where they enter, so that
// what is admitted can be served along its whole call graph. It learns from the
// pressure that admitted requests met further down: how long they waited for
// places, as a multiple of what they should wait. Pressure above 1 lowers the
// share by a factor, pressure below 1 raises it by steps.
//
// A share that moves slowly costs less than a level that follows at once: what
// was admitted a moment ago is still on its way down when its effect is seen.
// It is not safe for concurrent use.
type Gate struct {
	config  GateConfig
	share   float64
	end     time.Time // of the window
	sum     float64
	samples int
	before  float64 // pressure of the last window
}

const (
	defaultGateWindow = 100 * time.Millisecond
	defaultLeastShare = 0.05
	// raiseStep is what the share rises by in a window without any pressure.
	raiseStep = 0.02
	// lowerStep is what the share falls by, as a part of it, for each 1 that the
	// pressure is above 1, and mostLowered the most in a window.
	lowerStep   = 0.01
	mostLowered = 0.06
	// fallingShare of the pressure of the window before counts as falling: a
	// queue that is being worked off needs no lower share.
	fallingShare = 0.97
	// mostWindows bounds the windows that are made up for after a pause.
	mostWindows = 10
)

// NewGate returns a Gate that admits everything.
func NewGate(now time.Time, config GateConfig) *Gate {
	config.setDefaults()
	return &Gate{config: config, share: 1, end: now.Add(config.Window)}
}

// Share returns the share that is admitted, 0 to 1.
func (g *Gate) Share() float64 { return g.share }

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

// adjust closes the window when its time is over.
func (g *Gate) adjust(now time.Time) {
	if now.Before(g.end) {
		return
	}
	windows := 1 + int(now.Sub(g.end)/g.config.Window)
	g.end = g.end.Add(time.Duration(windows) * g.config.Window)
	pressure := 0.0
	if g.samples > 0 {
		pressure = g.sum / float64(g.samples)
	}
	g.sum, g.samples = 0, 0
	switch {
	case pressure <= 1:
		g.share += raiseStep * (1 - pressure) * float64(min(windows, mostWindows))
	case pressure > g.before*fallingShare:
		g.share *= 1 - min(lowerStep*(pressure-1), mostLowered)
	}
	g.before = pressure
	g.share = min(max(g.share, g.config.LeastShare), 1)
}
