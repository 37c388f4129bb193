package admission

import (
	"math"
	"time"
)

// Limit adapts the number of requests in flight to one back end.
//
// In each window, it compares the mean of the back end's own time with the baseline, the
// own time at low load. While the two are close and the limit is used, it grows. A mean
// far above the baseline has one of two causes: requests queue inside the back end, or
// the back end became slower at any load. A probe distinguishes them by lowering the limit
// for two windows. If the time falls with it, requests were queueing, and the lower limit
// stays. If not, the slower time becomes the baseline and the limit is restored.
//
// Limit is not safe for concurrent use.
type Limit struct {
	minimum, maximum float64
	current          float64
	// Own time at low load in seconds, 0 while unknown.
	baseline  float64
	windowEnd time.Time
	// Sum in seconds and number of the own times in the current window.
	sum   float64
	count int
	// Maximum number of requests in flight in the current window.
	peak int
	// Consecutive windows above the tolerance, and the sum of their mean times.
	congested    int
	congestedSum float64
	// Consecutive windows in which the limit was used.
	saturated int
	probe     probe
}

// probe is a test of a lower limit over two windows.
type probe struct {
	active bool
	// Mean time and limit before the probe.
	before float64
	limit  float64
	// The current window is the first one, which still has requests from before.
	skip bool
}

const (
	// minimumWindow is the minimum length of a window.
	minimumWindow = 100 * time.Millisecond
	// windowSamples is the minimum number of samples of a window, and probeSamples that of
	// the second window of a probe.
	windowSamples = 16
	probeSamples  = 40
	// congestionTolerance is the ratio of the mean to the baseline above which a window
	// counts as congested, and growthTolerance the one below which the limit may grow.
	congestionTolerance = 1.5
	growthTolerance     = 1.2
	// initialLimit holds until the first window with enough samples.
	initialLimit = 20.0
	// refusalFactor multiplies the limit when the back end refuses as overloaded.
	refusalFactor = 0.9
	// reachedShare is the share of the limit from which on it counts as used.
	reachedShare = 0.8
	// probeAfter is the number of consecutive congested windows before a probe, and
	// probeEvery the number of consecutive windows with a used limit.
	probeAfter = 2
	probeEvery = 30
	// probeShare multiplies the limit during a probe.
	probeShare = 0.7
	// probeFollowRatio is the ratio to the mean before a probe up to which the time counts
	// as having fallen with the limit.
	probeFollowRatio = 0.85
	// Weights of a window's mean in the baseline: a lower one, a far lower one, and a
	// higher one.
	baselineFall = 0.1
	baselineDrop = 0.5
	baselineRise = 0.05
	// maximumWindow bounds the length of the window of a slow back end (openWindow).
	maximumWindow = 5 * time.Second
)

// NewLimit returns a Limit that stays between minimum and maximum.
func NewLimit(now time.Time, minimum, maximum int) *Limit {
	l := &Limit{windowEnd: now.Add(minimumWindow)}
	l.SetBounds(minimum, maximum)
	l.current = min(max(initialLimit, l.minimum), l.maximum)
	return l
}

func (l *Limit) SetBounds(minimum, maximum int) {
	l.minimum, l.maximum = float64(minimum), float64(maximum)
	l.current = min(max(l.current, l.minimum), l.maximum)
}

// Current returns the limit, at least 1.
func (l *Limit) Current() int { return max(int(l.current), 1) }

// Started records the number of requests in flight after a request was started.
func (l *Limit) Started(inFlight int) { l.peak = max(l.peak, inFlight) }

// Finished records the own time of a request that ended, and whether the back end refused
// it as overloaded. A refusal lowers the limit at once.
func (l *Limit) Finished(now time.Time, own time.Duration, refused bool) {
	if refused {
		l.current = max(l.minimum, l.current*refusalFactor)
		return
	}
	l.sum += own.Seconds()
	l.count++
	if now.Before(l.windowEnd) || l.count < l.samplesNeeded() {
		return
	}
	l.closeWindow(now)
}

// samplesNeeded returns the minimum number of samples of the current window. It is higher
// for the second window of a probe, because a wrong result costs more than a longer probe.
func (l *Limit) samplesNeeded() int {
	if l.probe.active && !l.probe.skip {
		return probeSamples
	}
	return windowSamples
}

// closeWindow adapts the limit by the window that ends now and opens the next one.
func (l *Limit) closeWindow(now time.Time) {
	mean := l.sum / float64(l.count)
	reached := float64(l.peak) >= float64(l.Current())*reachedShare
	l.openWindow(now, mean)
	if l.probe.active {
		l.closeProbe(mean)
		return
	}
	l.updateBaseline(mean, reached)
	l.countWindow(mean, reached)
	l.adapt(mean, reached)
}

// openWindow begins a window that lasts at least two mean times, so that it includes
// requests started under the current limit.
func (l *Limit) openWindow(now time.Time, mean float64) {
	l.sum, l.count, l.peak = 0, 0, 0
	length := time.Duration(2 * mean * float64(time.Second))
	l.windowEnd = now.Add(min(max(minimumWindow, length), maximumWindow))
}

// countWindow counts consecutive windows in which the limit was used, and consecutive
// congested ones.
func (l *Limit) countWindow(mean float64, reached bool) {
	l.saturated++
	if !reached {
		l.saturated = 0
	}
	if mean > congestionTolerance*l.baseline {
		l.congested++
		l.congestedSum += mean
	} else {
		l.congested, l.congestedSum = 0, 0
	}
}

// adapt begins a probe when one is due, and otherwise grows the limit while it is used and
// the time is near the baseline.
func (l *Limit) adapt(mean float64, reached bool) {
	switch {
	case l.congested >= probeAfter:
		l.beginProbe(l.congestedSum / float64(l.congested))
	case l.saturated >= probeEvery:
		l.beginProbe(mean)
	case reached && mean < growthTolerance*l.baseline:
		l.current = min(l.maximum, l.current+math.Sqrt(l.current))
	}
}

// updateBaseline moves the baseline towards the mean of a window. A lower mean moves it
// only in part, because the mean of a few requests may be low by chance. A higher mean
// moves it slowly, and only while the limit is not used, since it may be due to queueing
// otherwise.
func (l *Limit) updateBaseline(mean float64, reached bool) {
	switch {
	case l.baseline == 0:
		l.baseline = mean
	case mean*congestionTolerance < l.baseline: // too low to be chance
		l.baseline += baselineDrop * (mean - l.baseline)
	case mean < l.baseline:
		l.baseline += baselineFall * (mean - l.baseline)
	case !reached:
		l.baseline += baselineRise * (mean - l.baseline)
	}
}

// beginProbe lowers the limit to test whether the time falls with it. mean is the time to
// compare with. Probes run after congested windows, and regularly while the limit is used
// all the time, to correct a wrong baseline.
func (l *Limit) beginProbe(mean float64) {
	l.congested, l.congestedSum, l.saturated = 0, 0, 0
	l.probe = probe{active: true, before: mean, limit: l.current, skip: true}
	l.current = max(l.minimum, l.current*probeShare)
}

// closeProbe ends a probe after its second window. If the time did not fall with the
// limit, the back end is slow at any load: the mean becomes the baseline and the limit is
// restored.
func (l *Limit) closeProbe(mean float64) {
	if l.probe.skip {
		l.probe.skip = false
		return
	}
	ended := l.probe
	l.probe = probe{}
	if mean > probeFollowRatio*ended.before {
		l.baseline = mean
		l.current = min(l.maximum, max(ended.limit, l.minimum))
		return
	}
	l.baseline = min(l.baseline, mean) // the lowered limit stays
}

// usableShare is the share of a back end's slots that is used. Some back ends become
// slower when the last slots are taken, and a request whose caller gave up may still
// occupy one for a while.
const usableShare = 0.94

// UsableSlots returns the limit for a back end with a known number of slots: usableShare
// of them, rounded up.
func UsableSlots(slots int) int {
	return min(slots, int(math.Ceil(float64(slots)*usableShare)))
}
