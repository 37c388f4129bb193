package spread

import "time"

// Proof is a lower bound on how new a document is: at the time of the proof, or later, the
// document was the newest one, whatever messages were delayed or lost since and whoever was
// frozen. What must end some time after a revocation, such as trust in a key, goes by it;
// Freshness, which is only an estimate, may not be used for that.
//
// Times are those of the steady clock of the process. The zero value is no proof. A Proof
// is not safe for concurrent use.
type Proof struct {
	at time.Time // zero: none
}

// Record takes a proof of the given time, unless a later one is known. A process that asks
// the store, or a peer for the age of its own proof, counts from when it asked: the answer
// may have been on its way for long.
func (p *Proof) Record(at time.Time) {
	if at.After(p.at) {
		p.at = at
	}
}

// Age returns the longest time ago at which the document was the newest one, and false
// when there is no proof.
func (p *Proof) Age(now time.Time) (age time.Duration, known bool) {
	if p.at.IsZero() {
		return 0, false
	}
	return max(now.Sub(p.at), 0), true
}
