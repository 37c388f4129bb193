package balance

import (
	"math/rand/v2"
	"time"
)

// Target is a node that calls can go to.
type Target struct {
	ID      string
	Address string
	Region  string
	Zone    string
	Suspect bool      // believed to be in trouble; taken only when nothing better is left
	Leaving bool      // takes requests for a moment only; taken when nothing else is left
	Since   time.Time // when this process first saw it
}

// Config configures a Balancer.
type Config struct {
	// Region and Zone of this process. Calls prefer their own.
	Region string
	Zone   string

	// ZoneCost is added to the latency of a node in another zone. Higher keeps
	// more calls in the zone, lower spreads load more evenly. Default 500µs.
	ZoneCost time.Duration

	// RegionCost is added to the latency of a node in another region. Default 20ms.
	RegionCost time.Duration

	// WarmUp is the time in which a new node comes to its full share. Longer is
	// gentler to cold back ends, shorter uses them sooner; a back end may be warm
	// although its node was started again, and its latency shows what it is.
	// Default 2s.
	WarmUp time.Duration

	// EjectAfter is the number of failures in a row that eject a node. Default 4.
	EjectAfter int

	// EjectTime is the first time of an ejection; it doubles with each further
	// one up to MaximumEjectTime. Defaults 1s and 10s.
	EjectTime        time.Duration
	MaximumEjectTime time.Duration

	// FaultHalfLife is how fast the failed calls of a node are forgotten that gets
	// no others. Shorter tries such a node sooner, longer loses fewer calls to
	// one that stays broken. Default 2s.
	FaultHalfLife time.Duration
	// RefusalHalfLife is the same for refused calls. Default 500ms.
	RefusalHalfLife time.Duration
	// LatencyHalfLife is how fast the latency of a node is forgotten that gets no
	// calls: it counts half after this time, so that a node that was slow is tried
	// again. Shorter tries sooner, longer loses less time to a slow one. Default 2s.
	LatencyHalfLife time.Duration
	// LoadHalfLife is how fast the load that a node has shown is forgotten when it
	// gets no calls. Shorter tries a full node sooner, longer spares it. Default 1s.
	LoadHalfLife time.Duration
	// LevelHalfLife is how fast an admission level that was not confirmed is
	// forgotten: after this time it counts half. Default 500ms.
	LevelHalfLife time.Duration

	// Random returns a whole number in [0, n). Default math/rand/v2.IntN.
	Random func(n int) int

	// OnEject is called when a node is ejected or restored. May be nil.
	OnEject func(target Target, ejected bool)
}

// DefaultFaultHalfLife is that of Config.FaultHalfLife. Nodes forget the faults of their
// back ends as fast, since balancers are told of them.
const DefaultFaultHalfLife = 2 * time.Second

func (c *Config) setDefaults() {
	setDuration(&c.ZoneCost, 500*time.Microsecond)
	setDuration(&c.RegionCost, 20*time.Millisecond)
	setDuration(&c.WarmUp, 2*time.Second)
	setDuration(&c.EjectTime, time.Second)
	setDuration(&c.MaximumEjectTime, 10*time.Second)
	setDuration(&c.FaultHalfLife, DefaultFaultHalfLife)
	setDuration(&c.RefusalHalfLife, 500*time.Millisecond)
	setDuration(&c.LatencyHalfLife, 2*time.Second)
	setDuration(&c.LoadHalfLife, time.Second)
	setDuration(&c.LevelHalfLife, 500*time.Millisecond)
	if c.EjectAfter == 0 {
		c.EjectAfter = 4
	}
	if c.Random == nil {
		c.Random = rand.IntN
	}
	if c.OnEject == nil {
		c.OnEject = func(Target, bool) {}
	}
}

func setDuration(field *time.Duration, fallback time.Duration) {
	if *field == 0 {
		*field = fallback
	}
}
