package emulator

import "time"

// scenario is the demand over time and one fault: a surge, a slow last service, or both.
type scenario struct {
	name     string
	load     float64 // demand before and after the fault, as a share of capacity
	surge    float64 // demand during the fault, as a share of capacity
	slowdown float64 // factor on the own work of the last service during the fault
	// retry makes clients retry failed requests immediately, up to clientRetries times.
	retry bool
}

const clientRetries = 3

// Times of a scenario, from its start.
const (
	faultBegin = 5 * time.Second
	faultEnd   = 15 * time.Second
	loadEnd    = 20 * time.Second // no user request is sent from here on
	// drain is the time after loadEnd in which requests in flight finish.
	drain = 10 * time.Second
)

// simulate runs the scenario in a cluster.
func (s scenario) simulate(c *cluster) {
	last := c.mesh.services[len(c.mesh.services)-1].name
	c.After(faultBegin, func() { c.setSlowdown(last, s.slowdown) })
	c.After(faultEnd, func() { c.setSlowdown(last, 1) })
	for kind := range c.mesh.kinds {
		c.generateLoad(s, kind)
	}
	c.Run(loadEnd + drain)
}

// demand returns the rate of user requests of a kind, per second, at a time from the start.
func (s scenario) demand(c *cluster, kind int, at time.Duration) float64 {
	share := c.mesh.kinds[kind].share * c.capacity
	if at < faultBegin || at >= faultEnd {
		return s.load * share
	}
	return s.surge * share
}

// generateLoad sends user requests of a kind as a Poisson process.
func (c *cluster) generateLoad(s scenario, kind int) {
	rate := s.demand(c, kind, c.Elapsed())
	c.After(c.exponential(time.Duration(float64(time.Second)/rate)), func() {
		if c.Elapsed() >= loadEnd {
			return
		}
		c.generateLoad(s, kind)
		c.sendWithRetries(s, kind, 0)
	})
}

// sendWithRetries sends a user request and retries it on failure if the scenario has client
// retries. retriesDone is the number of earlier attempts.
func (c *cluster) sendWithRetries(s scenario, kind int, retriesDone int) {
	sent := c.Elapsed()
	c.send(kind, func(ok bool) {
		c.outcomes = append(c.outcomes, outcome{sent: sent, ended: c.Elapsed(), kind: kind, completed: ok, first: retriesDone == 0})
		if !ok && s.retry && retriesDone < clientRetries {
			c.sendWithRetries(s, kind, retriesDone+1)
		}
	})
}
