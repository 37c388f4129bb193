package event

import (
	"sync"
	"time"
)

// Bounds of the lines of one event. Under overload an event may come thousands of times a
// second; the first lines show what happens. Estimates.
const (
	// linesPerSecond is the lasting rate.
	linesPerSecond = 10
	// lineBurst is the number of lines that may be written at once.
	lineBurst = 50
	// reportInterval is the least time between two lines that tell how many were left out.
	reportInterval = time.Second
)

// limiter bounds the lines of each event, so that overload does not turn into a
// flood of lines. It is safe for concurrent use.
type limiter struct {
	mutex   sync.Mutex
	buckets map[Number]*bucket
}

// bucket is the allowance of one event.
type bucket struct {
	tokens     float64
	last       time.Time
	suppressed int64
	reported   time.Time // when the suppressed lines were last told of
}

// allow reports whether a line of the event may be written, and how many were
// not since that was last told. The number is given once a second at most.
func (l *limiter) allow(now time.Time, number Number) (allowed bool, suppressed int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	b, exists := l.buckets[number]
	if !exists {
		b = &bucket{tokens: lineBurst, last: now, reported: now}
		l.buckets[number] = b
	}
	b.tokens = min(b.tokens+max(now.Sub(b.last).Seconds(), 0)*linesPerSecond, lineBurst)
	b.last = now
	if b.tokens < 1 {
		b.suppressed++
		return false, 0
	}
	b.tokens--
	if b.suppressed > 0 && now.Sub(b.reported) >= reportInterval {
		suppressed, b.suppressed, b.reported = b.suppressed, 0, now
	}
	return true, suppressed
}
