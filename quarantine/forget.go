package quarantine

import "time"

// Limits on the size of a Ledger.
const (
	// maximumCrashes is the maximum number of crashes.
	maximumCrashes = 256
	// maximumSuspectsPerCrash is the maximum number of requests of one crash, above the
	// number of requests that a back end runs at a time.
	maximumSuspectsPerCrash = 512
	// maximumEntries is the maximum number of requests of all crashes together. It bounds
	// memory use, at about 2.7 MB, and the answer to a process that asks for all crashes, at about
	// 330 KB.
	maximumEntries = 16 << 10
)

// Expire removes the crashes that are at least Keep old.
func (l *Ledger) Expire(now time.Time) {
	for _, known := range l.crashes {
		if now.Sub(known.at) >= l.config.Keep {
			l.remove(known)
		}
	}
}

// limitEntries removes the oldest crashes until at most maximumEntries requests remain.
func (l *Ledger) limitEntries() {
	for l.entryCount > maximumEntries {
		l.removeOldest()
	}
}

func (l *Ledger) removeOldest() {
	var oldest *crash
	for _, known := range l.crashes {
		if oldest == nil || known.at.Before(oldest.at) {
			oldest = known
		}
	}
	l.remove(oldest)
}

func (l *Ledger) remove(known *crash) {
	for signature := range known.inFlight {
		l.dropSuspicion(known.id, signature)
	}
	l.entryCount -= len(known.inFlight)
	delete(l.crashes, known.id)
}
