package balance

import (
	"math/rand/v2"
	"time"

	"github.com/loomcleat/loomcleat/ratelimit"
)

// Target is a node that calls can go to.
type Target struct {
	ID      string
	Address string
	Region  string
	Zone    string
	// Suspect reports that membership suspects the node of having failed. It is selected
	// only if no better node is left.
	Suspect bool
	// Leaving reports that the node is shutting down and takes requests for a short time
	// only. It is selected only if no other node is left.
	Leaving bool
	// RateLimit is how many requests a second the node's back end takes from all processes
	// together, nil for no limit. While other nodes have room, this process uses its part of
	// the limit only.
	RateLimit *ratelimit.Rate
	// Callers is the number of processes that share the RateLimit.
	Callers int
	// Since is when this process first saw the node. Update sets it.
	Since time.Time
}

// Config configures a Balancer.
type Config struct {
	// Region and Zone are those of this process. Calls prefer nodes there.
	Region string
	Zone   string

	// Random returns an integer in [0, n). Default math/rand/v2.IntN.
	Random func(n int) int

	// OnEject is called when a node is ejected (true) or restored (false), with the
	// Balancer locked. May be nil.
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
	// warmUp is the time over which the share of calls of a new node grows to its full
	// size. Longer is gentler on cold back ends, shorter uses them sooner. The back end of
	// a new node is not always cold: the node alone may have been restarted. Its latency shows
	// what it is.
	warmUp = 2 * time.Second
	// ejectAfter is the number of consecutive failures that eject a node.
	ejectAfter = 4
	// ejectTime is the length of a first ejection. It doubles with each consecutive one,
	// up to maximumEjectTime.
	ejectTime        = time.Second
	maximumEjectTime = 10 * time.Second
	// FaultHalfLife is the half-life of a node's share of failed calls while it gets none.
	// Shorter tries such a node sooner, longer loses fewer calls to one that stays
	// broken. Nodes use it as well for the faults of their back ends, since they report
	// them to balancers.
	FaultHalfLife = 2 * time.Second
	// refusalHalfLife is the same for refused calls.
	refusalHalfLife = 500 * time.Millisecond
	// latencyHalfLife is the half-life of a node's latency while it gets no calls, so that
	// a node that was slow is tried again. Shorter tries sooner, longer loses less time to
	// a node that stays slow.
	latencyHalfLife = 2 * time.Second
	// loadHalfLife is the half-life of the load that a node reported while it gets no
	// calls. Shorter tries a full node sooner, longer spares it.
	loadHalfLife = time.Second
	// levelHalfLife is the half-life of an admission level that is not reported again.
	levelHalfLife = 500 * time.Millisecond
)
