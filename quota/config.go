package quota

import "time"

// Quota bounds the requests of one tenant over the whole mesh.
type Quota struct {
	// Rate is in requests a second.
	Rate float64
	// Burst is the number of requests that may be made at once beyond that.
	Burst float64
}

// Config says what is promised of all quotas. It must be equal in the whole mesh.
type Config struct {
	// Window is the length of the spans in which requests are counted: in each, a tenant
	// makes at most (1 + Overshoot) * (Rate*Window + Burst) + Slack requests.
	Window time.Duration
	// Overshoot is a share of what a quota allows, 0 or more. Less lets processes admit
	// fewer requests between two reports, so that they report more often.
	Overshoot float64
	// Slack is a number of requests, 0 or more. It serves tenants of a few requests a
	// second: their share at one process is less than one request.
	Slack float64
	// Interval is the longest time between two reports of a process.
	Interval time.Duration
}

// tolerance returns the number of requests by which a tenant may exceed its quota in a
// window.
func (c *Config) tolerance(quota Quota) float64 {
	return c.Overshoot*(quota.Rate*c.Window.Seconds()+quota.Burst) + c.Slack
}

// silentIntervals is the time, in intervals, without a report after which a coordinator
// counts a process as silent, and without an answer after which the process knows that it is
// cut off. A report that fails is sent at once to another process, so that none is as late
// while any process answers.
const silentIntervals = 1.6

// silence returns the time after which a process counts as silent.
func (c *Config) silence() time.Duration {
	return time.Duration(silentIntervals * float64(c.Interval))
}
