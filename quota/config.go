package quota

import "time"

// Quota limits the requests of one tenant across the whole mesh.
type Quota struct {
	// Rate is the sustained rate in requests per second.
	Rate float64
	// Burst is the number of requests that may be made at once on top of Rate.
	Burst float64
}

// Config sets how precisely quotas are enforced. It must be the same in all processes of the
// mesh.
type Config struct {
	// Window is the length of the time span for which the limit holds: in any span of this
	// length, at most (1 + Overshoot) * (Rate*Window + Burst) + Slack requests of a tenant
	// are admitted.
	Window time.Duration
	// Overshoot is the fraction, 0 or more, by which a quota may be exceeded. With a lower
	// value, processes admit fewer requests between two reports and report more often.
	Overshoot float64
	// Slack is the number of requests, 0 or more, by which a quota may be exceeded in
	// addition. It is for tenants of a few requests per second, whose equal share at one
	// process is less than one request.
	Slack float64
	// Interval is the maximum time between two reports of a process.
	Interval time.Duration
}

// tolerance returns the number of requests by which a tenant may exceed its quota in a
// window.
func (c *Config) tolerance(quota Quota) float64 {
	return c.Overshoot*(quota.Rate*c.Window.Seconds()+quota.Burst) + c.Slack
}

// silentIntervals is the number of intervals without a report after which a coordinator
// considers a process silent. A process without an answer for as long considers itself cut
// off. A failed report is sent to another process at once, so no report is that late while
// any process answers.
const silentIntervals = 1.6

// silenceTimeout returns the time without a report after which a process counts as silent.
func (c *Config) silenceTimeout() time.Duration {
	return time.Duration(silentIntervals * float64(c.Interval))
}
