package quarantine

import (
	"slices"
	"time"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/quarantine"
)

// expireInterval is the time between two removals of expired crashes.
const expireInterval = 10 * time.Second

// maximumOwnCrashes bounds the number of recorded crashes of the own back end. When it is
// reached, the record starts empty again.
const maximumOwnCrashes = 256

// mergeReports merges reported crashes into the ledger and returns whether any of them was new.
// from is the reporting process or "store", for the log.
func (p *plugin) mergeReports(now time.Time, crashes []quarantine.CrashReport, from string) (isNew bool) {
	quarantined := []quarantine.Signature{}
	own := false
	p.mutex.Lock()
	for _, crash := range crashes {
		isNewHere, signatures := p.ledger.Report(now, crash)
		isNew = isNew || isNewHere
		quarantined = append(quarantined, signatures...)
	}
	for _, signature := range quarantined {
		own = own || slices.ContainsFunc(p.ledger.SuspectedOf(signature), p.isOwnCrash)
	}
	p.updateHasSuspects()
	p.mutex.Unlock()
	for _, signature := range quarantined {
		p.process.Log.Emit(event.RequestQuarantined, "signature", signature, "from", from)
	}
	if own {
		p.requestSave()
	}
	return isNew
}

// isOwnCrash reports whether a crash was one of this node's back end. Every node whose back end
// crashed under a quarantined request writes that request to the store: the crash that
// completed the quarantine may have been reported to each of them by another one. The caller
// holds the mutex.
func (p *plugin) isOwnCrash(crash string) bool { return p.ownCrashes[crash] }

// recordOwnCrash records a crash of this node's back end. The caller holds the mutex.
func (p *plugin) recordOwnCrash(crash string) {
	if len(p.ownCrashes) >= maximumOwnCrashes || p.ownCrashes == nil {
		p.ownCrashes = map[string]bool{}
	}
	p.ownCrashes[crash] = true
}

// clearSuspicion clears the suspicion against a request that got a complete answer, and reports
// that to all processes.
func (p *plugin) clearSuspicion(signature quarantine.Signature) {
	p.mutex.Lock()
	cleared := p.ledger.ClearSuspicion(clock.Now().Time(), signature)
	p.updateHasSuspects()
	p.mutex.Unlock()
	if len(cleared) == 0 {
		return
	}
	p.process.Log.Emit(event.SuspicionCleared, "signature", signature, "crashes", len(cleared))
	go p.broadcast(cleared)
}

// expire removes expired crashes. It runs on the control loop.
func (p *plugin) expire(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.ledger.Expire(now)
	p.updateHasSuspects()
}

// updateHasSuspects updates hasSuspects, which is read without the mutex, from the ledger.
// The caller holds the mutex.
func (p *plugin) updateHasSuspects() {
	p.hasSuspects.Store(p.ledger.HasSuspects())
}
