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

	// Random returns a whole number in [0, n). Default math/rand/v2.IntN.
	Random func(n int) int

	// OnEject is called when a node is ejected or restored. May be nil.
	OnEject func(target Target, ejected bool)
}

func (c *Config) setDefaults() {
	if c.Random == nil {
		c.Random = rand.IntN
	}
	if c.OnEject == nil {
		c.OnEject = func(Target, bool) {}
	}
}

const (
	// zoneCost is added to the latency of a node in another zone. Higher keeps
	// more calls in the zone, lower spreads load more evenly.
	zoneCost = 500 * time.Microsecond
	// regionCost is added to the latency of a node in another region.
	regionCost = 20 * time.Millisecond
	// warmUp is the time in which a new node comes to its full share. Longer is
	// gentler to cold back ends, shorter uses them sooner; a back end may be warm
	// although its node was started again, and its latency shows what it is.
	warmUp = 2 * time.Second
	// ejectAfter is the number of failures in a row that eject a node.
	ejectAfter = 4
	// ejectTime is the first time of an ejection; it doubles with each further
	// one up to maximumEjectTime.
	ejectTime        = time.Second
	maximumEjectTime = 10 * time.Second
	// FaultHalfLife is how fast the failed calls of a node are forgotten that gets
	// no others. Shorter tries such a node sooner, longer loses fewer calls to
	// one that stays broken. Nodes forget the faults of their back ends as fast, since
	// they report them to balancers.
	FaultHalfLife = 2 * time.Second
	// refusalHalfLife is the same for refused calls.
	refusalHalfLife = 500 * time.Millisecond
	// latencyHalfLife is how fast the latency of a node is forgotten that gets no
	// calls: it counts half after this time, so that a node that was slow is tried
	// again. Shorter tries sooner, longer loses less time to a slow one.
	latencyHalfLife = 2 * time.Second
	// loadHalfLife is how fast the load that a node has shown is forgotten when it
	// gets no calls. Shorter tries a full node sooner, longer spares it.
	loadHalfLife = time.Second
	// levelHalfLife is how fast an admission level that was not confirmed is
	// forgotten: after this time it counts half.
	levelHalfLife = 500 * time.Millisecond
)
