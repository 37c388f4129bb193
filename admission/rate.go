package admission

import "time"

// The rate limit that a back end declares (package ratelimit) bounds how many requests start. A request
// takes from it after it has got a slot, so that queued requests count when they are sent.

// AwaitedRate reports whether the request had to wait for the rate limit alone, or was refused
// by it. It may be called after the verdict.
func (t *Ticket) AwaitedRate() bool { return t.awaitsRate }

// noRoom returns the verdict on a request that is refused because the queue has no room, or
// because it has waited too long.
func (c *Controller) noRoom() Verdict {
	if c.limitedByRate() {
		return RateLimited
	}
	return QueueFull
}

// limitedByRate reports whether requests wait for the rate limit: there is one, and a slot is free.
func (c *Controller) limitedByRate() bool {
	_, limited := c.rateLimit.Limit()
	return limited && c.slotFree()
}

// RateWait returns the time until the rate limit has room for the next queued request, 0 if no
// request waits for it.
func (c *Controller) RateWait(now time.Time) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.queue.Len() == 0 || !c.slotFree() {
		return 0
	}
	return c.rateLimit.Wait(now, 0)
}

// RateRetryAfter returns the time after which the rate limit has room for a request that is
// refused now, behind those that wait.
func (c *Controller) RateRetryAfter(now time.Time) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.rateLimit.Wait(now, c.queue.Len())
}
