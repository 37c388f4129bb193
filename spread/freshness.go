package spread

import (
	"math"
	"time"
)

// Freshness estimates how recently a process knew that its document was the newest one: by
// reading the store itself, or because a peer vouched for it. It decides who reads the
// store. A message that was long on its way makes the estimate too young, which costs a
// late read and breaks nothing; what may not be wrong goes by a Proof.
//
// Times are those of the steady clock of the process. Peers tell each other ages, so that no
// clocks are compared. A Freshness is not safe for concurrent use.
type Freshness struct {
	verified time.Time // by the store or a peer, zero: never
	vouched  time.Time // by a peer, zero: never
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
func (f *Freshness) Age(now time.Time) (age time.Duration, known bool) {
	if f.verified.IsZero() {
		return 0, false
	}
	return max(now.Sub(f.verified), 0), true
}

// Bounds of the age of what peers vouch for. Knowledge of the few processes that
// watch the store passes from process to process, so that its age grows by about
// the same time with each doubling of the mesh. TestFewGoToTheStore holds these values to
// less than 3 of 100 looks that reach the store, in meshes of 14 to 1000 processes.
const (
	// smallMesh is the size, in processes, up to which the least bound holds.
	smallMesh = 14
	// smallMeshAge is that bound: a few gossip intervals.
	smallMeshAge = 2500 * time.Millisecond
	// agePerDoubling is what each doubling of the mesh adds to it.
	agePerDoubling = 500 * time.Millisecond
)

// MaximumVouchedAge is the age up to which what a peer vouches for counts, in a mesh of
// the given number of processes. Beyond it a process reads the store itself. With a bound
// that is too low for the size, most processes of a large mesh read the store all the time.
func MaximumVouchedAge(size int) time.Duration {
	doublings := math.Log2(max(float64(size)/smallMesh, 1))
	return smallMeshAge + time.Duration(doublings*float64(agePerDoubling))
}

// IsVouched reports whether peers vouch for the document recently enough in a mesh
// of the given size. A process that is cut off from its peers, or whose peers are
// all cut off from the store, learns by this that it must read the store itself.
func (f *Freshness) IsVouched(now time.Time, size int) bool {
	return !f.vouched.IsZero() && now.Sub(f.vouched) <= MaximumVouchedAge(size)
}

// rereadAfter is the time after which a process that nobody vouches for reads the store
// again.
const rereadAfter = time.Second

// MustLook reports whether a process of a mesh of the given size must read the store
// although it is not one of those that watch it: nobody vouches for its document, and it
// has not known it to be the newest one within rereadAfter, as it does after a read.
func (f *Freshness) MustLook(now time.Time, size int) bool {
	if f.IsVouched(now, size) {
		return false
	}
	return f.verified.IsZero() || now.Sub(f.verified) >= rereadAfter
}
