package quarantine

import (
	"cmp"
	"time"
)

// Config configures a Ledger.
type Config struct {
	// Threshold is the number of crashes, each of a different incarnation of a back end, after
	// which a request is quarantined. A single crash does not identify its cause, since all
	// requests in flight at the back end are suspects. Two crashes may still have another
	// common cause, since the requests in flight at the first are retried at once at another
	// back end. With a higher value, a request that crashes back ends takes down more of them.
	// Default 3.
	Threshold int
	// Period is how long a request is refused after its last crash when it is quarantined for
	// the first time. Each further crash doubles the time, up to Keep. When it is over, one
	// trial at a time is admitted. A shorter period releases an innocent request sooner, a
	// longer one loses fewer back ends. Default 60s.
	Period time.Duration
	// Keep is how long a crash is remembered. Memory use grows with it. Default 10m.
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
