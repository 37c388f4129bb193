package spread

import "time"

// Freshness is how recently a process knew that its document was the newest
// one: by reading the store itself, or by hearing from a peer that knew. All
// times are those of the steady clock of the process; peers tell each other
// ages, so that no clocks are compared.
//
// It is not safe for concurrent use.
type Freshness struct {
	verified time.Time // by the store or a peer, zero: never
	vouched  time.Time // by a peer
}

// Verified records that the store showed the document as the newest one at the
// given time.
func (f *Freshness) Verified(at time.Time) {
	if at.After(f.verified) {
		f.verified = at
	}
}

// Vouched records that a peer with the same document knew that it was the
// newest one, age ago.
func (f *Freshness) Vouched(now time.Time, age time.Duration) {
	at := now.Add(-age)
	if at.After(f.vouched) {
		f.vouched = at
	}
	f.Verified(at)
}

// Age returns how long ago the document was known to be the newest one, and
// false when it never was.
func (f *Freshness) Age(now time.Time) (time.Duration, bool) {
	if f.verified.IsZero() {
		return 0, false
	}
	return max(now.Sub(f.verified), 0), true
}

// maximumVouchedAge is the age of what peers vouch for from which on a process
// goes to the store itself: a few gossip intervals.
const maximumVouchedAge = 2500 * time.Millisecond

// IsVouched reports whether peers vouch for the document recently enough. A
// process that is cut off from its peers, or whose peers are all cut off from
// the store, finds by this that it must look for itself.
func (f *Freshness) IsVouched(now time.Time) bool {
	return !f.vouched.IsZero() && now.Sub(f.vouched) <= maximumVouchedAge
}
