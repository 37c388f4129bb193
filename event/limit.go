package event

import (
	"sync"
	"time"
)

// Rate limit for the lines of each event. Under overload an event may occur thousands of
// times a second, of which the first lines are enough for a diagnosis.
const (
	// linesPerSecond is the sustained rate.
	linesPerSecond = 10
	// lineBurst is the number of lines that may be written at once.
	lineBurst = 50
	// reportInterval is the minimum time between two lines with the number of suppressed
	// lines.
	reportInterval = time.Second
)

// limiter limits the rate of lines of each event. It is safe for concurrent use.
type limiter struct {
	mutex   sync.Mutex
	buckets map[Number]*bucket
}

// bucket is the token bucket of one event.
type bucket struct {
	tokens     float64
	last       time.Time
	suppressed int64
	reported   time.Time // time of the last line with a suppressed count
}

// allow reports whether a line of the event may be written. suppressed is the number of
// lines suppressed since it was last returned, at most once per reportInterval; otherwise
// it is 0.
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
