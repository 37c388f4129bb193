package quarantine

import (
	"slices"
	"time"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/quarantine"
)

// expireInterval is the time between two looks for crashes that are too old.
const expireInterval = 10 * time.Second

// maximumOwnCrashes bounds the crashes that are remembered as own ones.
const maximumOwnCrashes = 256

// learn merges reports of crashes and reports whether any of it was new.
func (p *plugin) learn(now time.Time, crashes []quarantine.Crash, from string) (isNew bool) {
	quarantined := []quarantine.Signature{}
	own := false
	p.mutex.Lock()
	for _, crash := range crashes {
		newHere, by := p.ledger.Report(now, crash)
		isNew = isNew || newHere
		quarantined = append(quarantined, by...)
	}
	for _, signature := range quarantined {
		own = own || slices.ContainsFunc(p.ledger.SuspectedOf(signature), p.isOwn)
	}
	p.publish()
	p.mutex.Unlock()
	for _, signature := range quarantined {
		p.process.Log.Emit(event.RequestQuarantined, "signature", signature, "from", from)
	}
	if own {
		p.save()
	}
	return isNew
}

// isOwn reports whether a crash was one of the back end beside this node. All nodes that
// lost a back end to a request write to the store that it is in quarantine, since each may
// have learned of the crash that completed the number from another one. The mutex is held.
func (p *plugin) isOwn(crash string) bool { return p.ownCrashes[crash] }

// noteOwn remembers a crash of the back end beside this node. The mutex is held.
func (p *plugin) noteOwn(crash string) {
	if len(p.ownCrashes) >= maximumOwnCrashes || p.ownCrashes == nil {
		p.ownCrashes = map[string]bool{}
	}
	p.ownCrashes[crash] = true
}

// answered clears a request that a back end has answered, and tells all.
func (p *plugin) answered(signature quarantine.Signature) {
	p.mutex.Lock()
	cleared := p.ledger.Answered(clock.Now().Time(), signature)
	p.publish()
	p.mutex.Unlock()
	if len(cleared) == 0 {
		return
	}
	p.process.Log.Emit(event.SuspicionCleared, "signature", signature, "crashes", len(cleared))
	go p.broadcast(cleared)
}

// expire runs on the control loop.
func (p *plugin) expire(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.ledger.Expire(now)
	p.publish()
}

// publish tells those that do not hold the mutex whether attempts and answers must be
// looked at. The mutex is held.
func (p *plugin) publish() {
	p.hasSuspects.Store(p.ledger.HasSuspects())
}
