package quota

import "time"

// bucket is a token bucket that is refilled over time.
type bucket struct {
	level   float64
	updated time.Time
}

// fill adds the tokens for the time since the last call, up to the capacity.
func (b *bucket) fill(now time.Time, rate, capacity float64) {
	if elapsed := now.Sub(b.updated).Seconds(); elapsed > 0 {
		b.level += rate * elapsed
		b.updated = now
	}
	b.level = min(b.level, capacity)
}

// take removes one token and reports whether there was one.
func (b *bucket) take() bool {
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// wait returns the time until a token is available at the given rate.
func (b *bucket) wait(rate float64) time.Duration {
	if rate <= 0 {
		return maximumRetryAfter
	}
	seconds := max(1-b.level, 0) / rate
	return min(time.Duration(seconds*float64(time.Second)), maximumRetryAfter)
}

// maximumRetryAfter bounds the waiting time that is reported to refused callers.
const maximumRetryAfter = time.Minute
