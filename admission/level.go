package admission

import "time"

// levelControl sets the admission level: requests of a lower priority are refused.
//
// It counts arrivals by priority in windows. A window is overloaded when hardly any slot
// is free at its end and requests were refused or waited too long, for example those with
// upstream work, which the level does not refuse. After an overloaded window, the level is
// the lowest one above which no more requests arrive than were started. After any other
// window it falls.
//
// The level applies at every back end to requests without upstream work
// (Controller.checkOnArrival). Answers carry it upstream, where the callers' processes
// refuse by it only if the policy has no route table (plug-in routing); with a route
// table, a Gate decides where requests enter. No setting selects between the two.
type levelControl struct {
	windowEnd time.Time
	// The level, a priority.
	current int
	// Arrivals by priority, smoothed over windows, and those of the current window.
	arrivals       [buckets]float64
	windowArrivals [buckets]int
	// Requests started in the current window.
	starts int
	// Requests refused by the queue or by the level in the current window.
	refused int
	// Requests started in the current window after waiting too long.
	delayed int
	// Starts, smoothed over windows.
	served float64

	// Arrivals of the highest class and starts, smoothed over many windows.
	criticalSlowAverage float64
	servedSlowAverage   float64
}

const (
	// levelWindow is the time between two adjustments.
	levelWindow = 50 * time.Millisecond
	// bucketWidth is the number of priorities that are counted together.
	bucketWidth = 8
	buckets     = (MaximumPriority + 1) / bucketWidth
	// arrivalWeight is the weight of the last window in the smoothed arrivals and starts.
	arrivalWeight = 0.4
	// minimumStarts is the number of starts below which a window with refusals is
	// extended, by up to maximumExtension windows.
	minimumStarts    = 8
	maximumExtension = 7
	// slowWeight is the weight of the last window in the slow averages.
	slowWeight = 0.05
	// criticalLevel is the lowest priority of the highest class.
	criticalLevel = (classes - 1) * prioritiesPerClass
	// headroom is the number of arrivals admitted for each started request, and
	// drainFactor the same while the queue is too long.
	headroom    = 1.02
	drainFactor = 0.95
	// fallStep is the number of priorities by which the level falls per window, and
	// idleFallStep the same while at least idleFreeShare of the limit is free.
	fallStep      = 16
	idleFallStep  = 96
	idleFreeShare = 0.5
	// fullFreeShare is the free share of the limit below which the back end counts as
	// full.
	fullFreeShare = 0.1
)

func newLevelControl(now time.Time) *levelControl {
	return &levelControl{windowEnd: now.Add(levelWindow)}
}

func (l *levelControl) arrived(priority int) {
	l.windowArrivals[min(max(priority, 0), MaximumPriority)/bucketWidth]++
}

func (l *levelControl) started() { l.starts++ }

// refuses reports whether the level refuses a priority.
func (l *levelControl) refuses(priority int) bool { return priority < l.current }

// adjust closes the window when its time is over. freeShare is the free share of the
// limit.
func (l *levelControl) adjust(now time.Time, freeShare float64) {
	if now.Before(l.windowEnd) {
		return
	}
	late := now.Sub(l.windowEnd)
	if l.starts < minimumStarts && l.refused > 0 && late < maximumExtension*levelWindow {
		return // too few starts to set the level from
	}
	windows := 1 + int(late/levelWindow)
	l.windowEnd = now.Add(levelWindow)
	l.updateSlowAverages()
	for i := range l.arrivals {
		l.arrivals[i] += arrivalWeight * (float64(l.windowArrivals[i]) - l.arrivals[i])
		l.windowArrivals[i] = 0
	}
	l.served += arrivalWeight * (float64(l.starts) - l.served)
	delayed := l.delayed > 0
	overloaded := (l.refused > 0 || delayed) && freeShare < fullFreeShare
	l.starts, l.refused, l.delayed = 0, 0, 0
	if overloaded {
		l.raise(delayed)
		return
	}
	l.fall(freeShare, windows)
}

// raise sets the level to the lowest one above which the arrivals fit, but not above
// criticalLevel while the highest class fits. delayed reports that the queue is too long.
func (l *levelControl) raise(delayed bool) {
	fits := l.served * headroom
	if delayed {
		fits = l.served * drainFactor
	}
	above := 0.0
	level := MaximumLevel
	for i := buckets - 1; i >= 0; i-- {
		above += l.arrivals[i]
		if above > fits {
			break
		}
		level = i * bucketWidth
	}
	// At least one bucket stays open, because a level that refuses everything would get
	// no starts to adjust by.
	l.current = min(level, MaximumLevel-bucketWidth)
	if l.criticalSlowAverage <= l.servedSlowAverage*headroom {
		l.current = min(l.current, criticalLevel)
	}
}

// updateSlowAverages updates the averages that decide whether requests of the highest
// class may be refused. They span many windows, so that a short burst does not suffice.
func (l *levelControl) updateSlowAverages() {
	critical := 0
	for i := criticalLevel / bucketWidth; i < buckets; i++ {
		critical += l.windowArrivals[i]
	}
	l.criticalSlowAverage += slowWeight * (float64(critical) - l.criticalSlowAverage)
	l.servedSlowAverage += slowWeight * (float64(l.starts) - l.servedSlowAverage)
}

// fall lowers the level by one step per window.
func (l *levelControl) fall(freeShare float64, windows int) {
	step := fallStep
	if freeShare >= idleFreeShare {
		step = idleFallStep
	}
	l.current = max(0, l.current-step*min(windows, MaximumLevel))
}
