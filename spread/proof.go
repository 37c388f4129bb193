package spread

import "time"

// Proof is a proven bound on the age of a document: at the recorded time, or later, the
// document was the newest revision. It holds whatever messages were delayed or lost since and
// whichever processes were suspended. Whoever records it must know that much.
//
// Times must be those of a clock that keeps running while the machine is suspended (package
// clock); otherwise a proof would look too recent after a suspension. The zero value is no
// proof. A Proof is not safe for concurrent use.
type Proof struct {
	// Zero if there is no proof.
	at time.Time
}

// Record records a proof of the given time, unless a later one is known. A process that reads
// the store, or asks a peer for the age of its proof, must use the time at which it sent the
// request, since the answer may have been delayed.
func (p *Proof) Record(at time.Time) {
	if at.After(p.at) {
		p.at = at
	}
}

// Age returns the maximum time since the document was the newest revision, and false if there
// is no proof.
func (p *Proof) Age(now time.Time) (age time.Duration, known bool) {
	if p.at.IsZero() {
		return 0, false
	}
	return max(now.Sub(p.at), 0), true
}
