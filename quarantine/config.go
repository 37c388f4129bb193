package quarantine

import (
	"cmp"
	"time"
)

// Config configures a Ledger.
type Config struct {
	// Threshold is the number of crashes, each of another incarnation of a back end, that
	// put a request into quarantine. One crash proves nothing, since everything that a back
	// end works on is lost with it; two may have one cause, since a lost request is retried
	// at another back end at once. Higher loses more back ends to a request that crashes
	// them. Default 3.
	Threshold int
	// Period is how long a request is refused after its last crash, the first time. Each
	// further crash doubles it, up to Keep. After it, one trial at a time is let through.
	// Shorter frees an innocent request sooner, longer loses fewer back ends. Default 60s.
	Period time.Duration
	// Keep is how long a crash is remembered. Memory grows with it. Default 10m.
	Keep time.Duration
}

// Defaults of a Config.
const (
	defaultThreshold = 3
	defaultPeriod    = time.Minute
	defaultKeep      = 10 * time.Minute
)

func (c *Config) setDefaults() {
	c.Threshold = cmp.Or(c.Threshold, defaultThreshold)
	c.Period = cmp.Or(c.Period, defaultPeriod)
	c.Keep = cmp.Or(c.Keep, defaultKeep)
}
