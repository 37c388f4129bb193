package soak

import "time"

// The invariant RateLimitKept: from limitDelay after the first answer that declares a limit, a back
// end gets in each limitWindow at most limitFactor times what the limit allows, and limitSlack.
const (
	limitWindow = 4 * time.Second
	limitDelay  = 3 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitNotice is the time after the first answer, or after one with a lower limit, from
	// which on requests are bound by it.
	limitNotice = 500 * time.Millisecond
)

// rateLimit is the state of an incarnation that declares a rate limit.
type rateLimit struct {
	// First answer that declared it without a pause since.
	since    time.Time
	arrivals []time.Time
	// Limits declared in the last limitWindow and limitNotice, oldest first.
	declared []declaredLimit
}

type declaredLimit struct {
	at    time.Time
	limit float64
}

// RateLimitDeclared records an answer with a rate limit, in requests per second, 0 for an answer
// without one.
func (c *Checker) RateLimitDeclared(now time.Time, incarnation string, limit float64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if limit == 0 {
		delete(c.limits, incarnation)
		return
	}
	state, exists := c.limits[incarnation]
	if !exists {
		state = &rateLimit{since: now}
		c.limits[incarnation] = state
	}
	state.declared = append(state.declared, declaredLimit{now, limit})
}

// Arrived records that a request has reached an incarnation.
func (c *Checker) Arrived(now time.Time, incarnation string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	state, exists := c.limits[incarnation]
	if !exists || now.Sub(state.since) < limitNotice {
		return
	}
	state.arrivals = append(state.arrivals, now)
	state.dropOld(now)
	if allowed := state.allowed(); now.Sub(state.since) >= limitDelay && float64(len(state.arrivals)) > allowed {
		c.violate(now, RateLimitKept, "%s got %d requests in %s, %.0f allowed", incarnation, len(state.arrivals), limitWindow, allowed)
		delete(c.limits, incarnation)
	}
}

// dropOld drops arrivals and declarations that are too old to count. The last declaration that came
// before is kept, since it is still in force then.
func (r *rateLimit) dropOld(now time.Time) {
	for now.Sub(r.arrivals[0]) >= limitWindow {
		r.arrivals = r.arrivals[1:]
	}
	for len(r.declared) > 1 && now.Sub(r.declared[1].at) > limitWindow+limitNotice {
		r.declared = r.declared[1:]
	}
}

// allowed returns the number of requests that the highest limit of the window allows.
func (r *rateLimit) allowed() float64 {
	highest := 0.0
	for _, declared := range r.declared {
		highest = max(highest, declared.limit)
	}
	return limitFactor*highest*limitWindow.Seconds() + limitSlack
}
