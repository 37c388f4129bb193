package admission

import "time"

// levelControl sets the level below which requests are refused.
//
// It counts what arrives by priority in windows. In a window with refusals, the level
// becomes the lowest one at which no more arrives above it than was started, and so it
// does in a window in which requests that it never refuses (committed ones) have waited
// too long. In a window with room, it falls.
//
// Where it is reached: beside every back end, on every deployment, by requests that are
// not committed (Controller.screen). The level also travels back with answers; a caller's
// process refuses by it only where the policy has no route table (plug-in routing).
// With one, a Gate decides where requests enter. No setting chooses between the two.
type levelControl struct {
	end      time.Time        // of the window
	current  int              // the level, a priority
	arrivals [buckets]float64 // by priority, smoothed over windows
	recent   [buckets]int     // the same in this window
	starts   int              // requests started in this window
	refused  int              // by the queue or by the level
	delayed  int              // started after waiting longer than they should
	served   float64          // starts, smoothed over windows

	// Arrivals of the highest class and starts, smoothed over many windows.
	criticalSlow float64
	servedSlow   float64
}

// Constants of the level. docs/design/overload.md has the runs in virtual time that they
// come from; those that it does not name are estimates.
const (
	levelWindow   = 50 * time.Millisecond // between two adjustments
	bucketWidth   = 8                     // priorities that are counted together
	buckets       = (MaximumPriority + 1) / bucketWidth
	arrivalWeight = 0.4                                // of the last window in the smoothed arrivals
	windowStarts  = 8                                  // fewer starts make a window with refusals longer
	longestWait   = 7                                  // windows by which it may become longer
	slowWeight    = 0.05                               // of the last window in what decides on the highest class
	criticalLevel = (classes - 1) * prioritiesPerClass // that of the highest class
	headroom      = 1.02                               // arrivals admitted for each one started
	catchUp       = 0.95                               // the same while the queue is too long
	fallStep      = 16                                 // priorities by which the level falls in a quiet window
	idleFallStep  = 96                                 // the same while a large part of the limit is free
	idleRoom      = 0.5                                // free share of the limit from which on that is so
	fullRoom      = 0.1                                // less free than this counts as full
)

func newLevelControl(now time.Time) *levelControl {
	return &levelControl{end: now.Add(levelWindow)}
}

func (l *levelControl) arrived(priority int) {
	l.recent[min(max(priority, 0), MaximumPriority)/bucketWidth]++
}

func (l *levelControl) started() { l.starts++ }

// refuses reports whether the level refuses a priority.
func (l *levelControl) refuses(priority int) bool { return priority < l.current }

// adjust closes the window when its time is over. room is the free share of the
// limit.
func (l *levelControl) adjust(now time.Time, room float64) {
	if now.Before(l.end) {
		return
	}
	late := now.Sub(l.end)
	if l.starts < windowStarts && l.refused > 0 && late < longestWait*levelWindow {
		return // too few to tell
	}
	windows := 1 + int(late/levelWindow)
	l.end = now.Add(levelWindow)
	l.learnSlowly()
	for i := range l.arrivals {
		l.arrivals[i] += arrivalWeight * (float64(l.recent[i]) - l.arrivals[i])
		l.recent[i] = 0
	}
	l.served += arrivalWeight * (float64(l.starts) - l.served)
	delayed := l.delayed > 0
	overloaded := (l.refused > 0 || delayed) && room < fullRoom
	l.starts, l.refused, l.delayed = 0, 0, 0
	if overloaded {
		l.raise(delayed)
		return
	}
	l.fall(room, windows)
}

// raise sets the level so that what is above it fits.
func (l *levelControl) raise(delayed bool) {
	fits := l.served * headroom
	if delayed {
		fits = l.served * catchUp
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
	// At least one bucket stays open: a level that refuses everything could
	// not learn when to fall.
	l.current = min(level, MaximumLevel-bucketWidth)
	if l.criticalSlow <= l.servedSlow*headroom {
		l.current = min(l.current, criticalLevel)
	}
}

// learnSlowly counts what decides whether the highest class itself does not
// fit. A few windows are not enough to refuse it.
func (l *levelControl) learnSlowly() {
	critical := 0
	for i := criticalLevel / bucketWidth; i < buckets; i++ {
		critical += l.recent[i]
	}
	l.criticalSlow += slowWeight * (float64(critical) - l.criticalSlow)
	l.servedSlow += slowWeight * (float64(l.starts) - l.servedSlow)
}

func (l *levelControl) fall(room float64, windows int) {
	step := fallStep
	if room >= idleRoom {
		step = idleFallStep
	}
	l.current = max(0, l.current-step*min(windows, MaximumLevel))
}
