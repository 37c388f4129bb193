package admission

import (
	"math"
	"time"
)

// Limit adapts the number of requests in flight to one back end.
//
// It compares the back end's own time in each window with the time at low load.
// While both are alike and the limit was reached, it grows. When the time has
// grown by more than the tolerance, requests queue inside the back end, or the
// back end became slower for another reason than load. A probe tells: the limit
// is lowered for two windows. If the time follows, requests were queueing, and
// the lower limit stays. If it does not, the slower time becomes the new time
// at low load, and the limit is put back.
//
// Limit is not safe for concurrent use.
type Limit struct {
	minimum, maximum float64
	current          float64
	baseline         float64 // seconds at low load, 0 while unknown
	windowEnd        time.Time
	sum              float64
	count            int
	peak             int     // most requests in flight in this window
	congested        int     // windows in a row above the tolerance
	congestedSum     float64 // of the mean times of these windows
	saturated        int     // windows in a row in which the limit was used
	probe            probe
}

// probe is a window with a lowered limit.
type probe struct {
	active bool
	before float64 // mean time before the probe
	limit  float64 // limit before the probe
	skip   bool    // the first window still sees older requests
}

// Constants of the limit. docs/design/overload.md has the runs in virtual time that some
// come from (probes at 0.7 in place of 0.5 of the limit: 0.96 in place of 0.90 of the
// requests that could complete did); the others are estimates.
const (
	windowTime    = 100 * time.Millisecond // of a window, at least
	windowSamples = 16                     // fewer samples make the window longer
	probeSamples  = 40                     // the same for the window of a probe
	tolerance     = 1.5                    // growth of the time that counts as queueing
	comfortable   = 1.2                    // growth of the time up to which the limit may grow
	initialLimit  = 20.0                   // until something is known
	refusedShare  = 0.9                    // of the limit that is left when the back end refuses as overloaded
	reachedShare  = 0.8                    // of the limit that must be used for it to grow
	probeAfter    = 2                      // congested windows before a probe
	probeEvery    = 30                     // windows with a used limit before a probe
	probeShare    = 0.7                    // of the limit during a probe
	probeFollows  = 0.85                   // the time follows when it falls below this share
	baselineFall  = 0.1                    // share by which the baseline follows a lower time
	baselineDrop  = 0.5                    // the same when the time is far lower
	baselineRise  = 0.05                   // share by which it follows a higher one
	longestWindow = 5 * time.Second        // however slow the back end is
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
		l.current = max(l.minimum, l.current*refusedShare)
		return
	}
	l.sum += own.Seconds()
	l.count++
	if now.Before(l.windowEnd) || l.count < l.samplesNeeded() {
		return
	}
	l.closeWindow(now)
}

// samplesNeeded is larger for the window of a probe that is compared: a wrong
// conclusion costs more than a longer probe.
func (l *Limit) samplesNeeded() int {
	if l.probe.active && !l.probe.skip {
		return probeSamples
	}
	return windowSamples
}

// closeWindow adapts the limit to the window that ends now.
func (l *Limit) closeWindow(now time.Time) {
	mean := l.sum / float64(l.count)
	reached := float64(l.peak) >= float64(l.Current())*reachedShare
	l.openWindow(now, mean)
	if l.probe.active {
		l.closeProbe(mean)
		return
	}
	l.learnBaseline(mean, reached)
	l.countWindow(mean, reached)
	l.adapt(mean, reached)
}

// openWindow begins a window of at least two usual times, so that it sees requests that
// were started under the limit of now.
func (l *Limit) openWindow(now time.Time, mean float64) {
	l.sum, l.count, l.peak = 0, 0, 0
	length := time.Duration(2 * mean * float64(time.Second))
	l.windowEnd = now.Add(min(max(windowTime, length), longestWindow))
}

// countWindow counts the windows in a row in which the limit was used, and those in which
// the time was above the tolerance.
func (l *Limit) countWindow(mean float64, reached bool) {
	l.saturated++
	if !reached {
		l.saturated = 0
	}
	if mean > tolerance*l.baseline {
		l.congested++
		l.congestedSum += mean
	} else {
		l.congested, l.congestedSum = 0, 0
	}
}

// adapt begins a probe when one is due, and lets the limit grow while it is used and the
// time is near that at low load.
func (l *Limit) adapt(mean float64, reached bool) {
	switch {
	case l.congested >= probeAfter:
		l.beginProbe(l.congestedSum / float64(l.congested))
	case l.saturated >= probeEvery:
		l.beginProbe(mean)
	case reached && mean < comfortable*l.baseline:
		l.current = min(l.maximum, l.current+math.Sqrt(l.current))
	}
}

// learnBaseline follows a time that falls, part of the way in each window: the
// mean of a few requests may be low by chance. A time that rises is followed
// slowly, and only while the limit is not used, since otherwise it may be
// queueing.
func (l *Limit) learnBaseline(mean float64, reached bool) {
	switch {
	case l.baseline == 0:
		l.baseline = mean
	case mean*tolerance < l.baseline: // too low for chance
		l.baseline += baselineDrop * (mean - l.baseline)
	case mean < l.baseline:
		l.baseline += baselineFall * (mean - l.baseline)
	case !reached:
		l.baseline += baselineRise * (mean - l.baseline)
	}
}

// beginProbe lowers the limit to see whether the time follows. That happens
// when the time has been high for some windows, and now and then while the
// limit is used all the time, so that a wrong baseline does not last.
func (l *Limit) beginProbe(mean float64) {
	l.congested, l.congestedSum, l.saturated = 0, 0, 0
	l.probe = probe{active: true, before: mean, limit: l.current, skip: true}
	l.current = max(l.minimum, l.current*probeShare)
}

// closeProbe ends a probe after its second window. When the time did not follow
// the limit, the back end is slow at any load: that is its new time at low load,
// and the limit is put back.
func (l *Limit) closeProbe(mean float64) {
	if l.probe.skip {
		l.probe.skip = false
		return
	}
	ended := l.probe
	l.probe = probe{}
	if mean > probeFollows*ended.before {
		l.baseline = mean
		l.current = min(l.maximum, max(ended.limit, l.minimum))
		return
	}
	l.baseline = min(l.baseline, mean) // the limit stays where the probe put it
}

// usableShare is the share of a back end's slots that are used. Some back ends become
// slower when the last ones are taken, and a request that was given up may hold one for
// a while. Estimate.
const usableShare = 0.94

// UsableSlots returns the limit for a back end that tells how many slots it has, which
// needs no search: most of them, at least one, 0 for none.
func UsableSlots(slots int) int {
	return min(slots, int(math.Ceil(float64(slots)*usableShare)))
}
