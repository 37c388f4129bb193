package ratelimit

import (
	"sync"
	"time"
)

// Declaration is what a back end declared with one answer.
type Declaration struct {
	// Incarnation of the back end that answered, "" where back ends have none.
	Incarnation string
	// SentAt is when the request was sent, ReceivedAt when the head of its answer arrived.
	SentAt     time.Time
	ReceivedAt time.Time
	// Limit is the declared limit, nil if the answer declares none.
	Limit *Rate
}

const (
	// burstTime is the time for which the requests of the limit may be sent at once, in
	// addition to one request. A back end that asks for a limit is in need, so that this is
	// short; with none, every irregular arrival would lose a part of the limit.
	burstTime = 250 * time.Millisecond
	// trialRate is sent even if the limit is lower, since only an answer shows that a limit
	// of 0 has ended.
	trialRate Rate = 0.5
)

// Limiter paces the requests to one back end. The zero value limits nothing. It is safe for
// concurrent use.
type Limiter struct {
	mutex       sync.Mutex
	incarnation string
	limited     bool
	limit       Rate
	// When the limit was declared last. Zero for a recalled limit.
	declaredAt time.Time
	// The back end has answered since this process knows its incarnation.
	answered bool
	// Requests that may be sent at once, as of refilledAt.
	tokens     float64
	refilledAt time.Time
}

// Begin resets the Limiter when another incarnation of the back end runs.
func (l *Limiter) Begin(incarnation string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if incarnation == l.incarnation {
		return
	}
	l.incarnation = incarnation
	l.limited, l.answered = false, false
}

// Observe handles the declaration of one answer. Answers may arrive out of order: a lower limit
// is in force at once, but a higher one, or none, only if its request was sent after the limit in
// force was declared last. It ignores answers of other incarnations.
func (l *Limiter) Observe(declaration Declaration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if declaration.Incarnation != l.incarnation {
		return
	}
	l.answered = true
	if l.isHigher(declaration.Limit) && !declaration.SentAt.After(l.declaredAt) {
		return
	}
	if declaration.Limit == nil {
		l.limited = false
		return
	}
	l.set(declaration.ReceivedAt, *declaration.Limit)
	l.declaredAt = declaration.ReceivedAt
}

// Recall sets a limit that this node reported to another process before it was restarted. It
// counts only until the back end answers, and only for the incarnation that is running.
func (l *Limiter) Recall(now time.Time, incarnation string, limit Rate) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.answered || incarnation != l.incarnation || !limit.Valid() {
		return
	}
	if l.isHigher(&limit) {
		return
	}
	l.set(now, limit)
	l.declaredAt = time.Time{}
}

// isHigher reports whether a limit, nil for none, allows more than the one in force.
func (l *Limiter) isHigher(limit *Rate) bool {
	return l.limited && (limit == nil || *limit > l.limit)
}

// set changes the limit in force. A first limit begins without tokens, since the back end has
// just got requests without one.
func (l *Limiter) set(now time.Time, limit Rate) {
	if !l.limited {
		l.tokens, l.refilledAt = 0, now
	}
	l.refill(now)
	l.limited, l.limit = true, limit
}

// Limit returns the limit in force, and false if there is none.
func (l *Limiter) Limit() (Rate, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.limit, l.limited
}

// Take reports whether a request may be sent now, and counts it.
func (l *Limiter) Take(now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.limited {
		return true
	}
	l.refill(now)
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// Wait returns the time until a request may be sent behind a number of waiting ones, 0 if one may
// be sent now.
func (l *Limiter) Wait(now time.Time, waiting int) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.limited {
		return 0
	}
	l.refill(now)
	missing := float64(1+waiting) - l.tokens
	if missing <= 0 {
		return 0
	}
	return durationOf(missing / l.sendRate())
}

// sendRate returns the rate at which requests are sent, per second.
func (l *Limiter) sendRate() float64 { return float64(max(l.limit, trialRate)) }

// burst returns the number of requests that may be sent at once.
func (l *Limiter) burst() float64 { return 1 + l.sendRate()*burstTime.Seconds() }

// refill adds the tokens of the time since the last call, and drops those beyond the burst, also
// after the limit has fallen.
func (l *Limiter) refill(now time.Time) {
	elapsed := max(now.Sub(l.refilledAt).Seconds(), 0)
	l.tokens = min(l.tokens+elapsed*l.sendRate(), l.burst())
	if now.After(l.refilledAt) {
		l.refilledAt = now
	}
}

// durationOf rounds up, so that a wait is never too short.
func durationOf(seconds float64) time.Duration {
	return time.Duration(seconds*float64(time.Second)) + 1
}
