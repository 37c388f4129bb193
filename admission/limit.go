package admission

import (
	"math"
	"time"
)

// Limit adapts the number of requests in flight to one back end.
//
// It compares the back end's own time in each window with the time at low load.
// While both are alike and the limit was reached, it grows. When the time has
// grown by more than the tolerance, requests queue inside the back end, and it
// shrinks to the number that would bring the time back (Little's law).
//
// A back end that became slower for another reason than load looks the same at
// first. Therefore the limit is halved for one window now and then: if the time
// does not follow, load was not the reason, and the slower time becomes the
// new time at low load.
//
// Limit is not safe for concurrent use.
type Limit struct {
	minimum, maximum float64
	current          float64
	baseline         float64 // seconds at low load, 0 while unknown
	windowEnd        time.Time
	sum              float64
	count            int
	peak             int // most requests in flight in this window
	congested        int // windows in a row above the tolerance
	trial            trial
}

// trial is a window with a halved limit.
type trial struct {
	active bool
	before float64 // mean time before the trial
	limit  float64 // limit before the trial
	skip   bool    // the first window still sees older requests
}

const (
	windowTime         = 100 * time.Millisecond
	windowSamples      = 10   // fewer samples make the window longer
	tolerance          = 1.5  // growth of the time that counts as queueing
	initialLimit       = 20.0 // until something is known
	trialAfter         = 3    // congested windows before a trial
	trialFollows       = 0.75 // the time follows when it falls below this share
	baselineDrift      = 0.02 // share by which the baseline follows per window
	longestEmptyWindow = 5 * time.Second
)

// NewLimit returns a Limit between minimum and maximum.
func NewLimit(now time.Time, minimum, maximum int) *Limit {
	l := &Limit{windowEnd: now.Add(windowTime)}
	l.SetBounds(minimum, maximum)
	l.current = min(max(initialLimit, l.minimum), l.maximum)
	return l
}

// SetBounds changes the bounds.
func (l *Limit) SetBounds(minimum, maximum int) {
	l.minimum, l.maximum = float64(minimum), float64(maximum)
	l.current = min(max(l.current, l.minimum), l.maximum)
}

// Current returns the limit, at least 1.
func (l *Limit) Current() int { return max(int(l.current), 1) }

// Started records the number of requests in flight after one was started.
func (l *Limit) Started(inFlight int) { l.peak = max(l.peak, inFlight) }

// Finished records the back end's own time for a request that ended, and
// whether the back end refused it because it is overloaded.
func (l *Limit) Finished(now time.Time, own time.Duration, refused bool) {
	if refused {
		l.current = max(l.minimum, l.current*0.9)
		return
	}
	l.sum += own.Seconds()
	l.count++
	if now.Before(l.windowEnd) || l.count < windowSamples {
		return
	}
	l.closeWindow(now)
}

// closeWindow adapts the limit to the window that ends now.
func (l *Limit) closeWindow(now time.Time) {
	mean := l.sum / float64(l.count)
	reached := float64(l.peak) >= l.current*0.8
	l.sum, l.count, l.peak = 0, 0, 0
	length := time.Duration(2 * mean * float64(time.Second))
	l.windowEnd = now.Add(min(max(windowTime, length), longestEmptyWindow))
	if l.trial.active {
		l.closeTrial(mean)
		return
	}
	if l.baseline == 0 || mean < l.baseline {
		l.baseline = mean
	}
	switch {
	case mean > tolerance*l.baseline:
		l.congest(mean)
	case reached:
		l.congested = 0
		l.current = min(l.maximum, l.current+math.Sqrt(l.current))
	default:
		l.congested = 0
		l.baseline += baselineDrift * (mean - l.baseline)
	}
}

// congest shrinks the limit, or begins a trial when shrinking did not help.
func (l *Limit) congest(mean float64) {
	l.congested++
	if l.congested >= trialAfter {
		l.congested = 0
		l.trial = trial{active: true, before: mean, limit: l.current, skip: true}
		l.current = max(l.minimum, l.current/2)
		return
	}
	wanted := l.current * tolerance * l.baseline / mean
	l.current = max(l.minimum, l.current*0.7, wanted)
}

// closeTrial ends a trial after its second window.
func (l *Limit) closeTrial(mean float64) {
	if l.trial.skip {
		l.trial.skip = false
		return
	}
	ended := l.trial
	l.trial = trial{}
	if mean > trialFollows*ended.before {
		l.baseline = mean // it is slow at any load
		l.current = min(l.maximum, max(ended.limit, l.minimum))
		return
	}
	l.baseline = min(max(l.baseline, mean/tolerance), mean)
}
