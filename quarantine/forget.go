package quarantine

import "time"

// Bounds of what a Ledger holds.
const (
	// maximumCrashes bounds the crashes that are remembered.
	maximumCrashes = 256
	// maximumSuspects bounds the requests of one crash: above the number that a back end
	// works on at a time.
	maximumSuspects = 512
	// maximumListed bounds the requests of all crashes together: 2.7 MB of memory and 330 KB
	// for a process that asks for all, by the sizes measured at 7,680 of them.
	maximumListed = 16 << 10
)

// Expire forgets crashes that are older than Keep.
func (l *Ledger) Expire(now time.Time) {
	for _, known := range l.crashes {
		if now.Sub(known.at) >= l.config.Keep {
			l.forget(known)
		}
	}
}

// limitListed forgets the oldest crashes until few enough requests are listed.
func (l *Ledger) limitListed() {
	for l.listed > maximumListed {
		l.forgetOldest()
	}
}

func (l *Ledger) forgetOldest() {
	var oldest *crash
	for _, known := range l.crashes {
		if oldest == nil || known.at.Before(oldest.at) {
			oldest = known
		}
	}
	l.forget(oldest)
}

func (l *Ledger) forget(known *crash) {
	for signature := range known.lost {
		l.dropSuspicion(known.id, signature)
	}
	l.listed -= len(known.lost)
	delete(l.crashes, known.id)
}
