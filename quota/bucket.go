package quota

import "time"

// bucket is a token bucket that is filled by time.
type bucket struct {
	level   float64
	updated time.Time
}

// fill adds what has come since the last time, up to a capacity.
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

// wait returns the time until there is a token at a rate.
func (b *bucket) wait(rate float64) time.Duration {
	if rate <= 0 {
		return longestWait
	}
	seconds := max(1-b.level, 0) / rate
	return min(time.Duration(seconds*float64(time.Second)), longestWait)
}

// longestWait bounds the wait that a refused caller is told.
const longestWait = time.Minute
