package spread

import (
	"math"
	"time"
)

// Freshness estimates how recently the document of a process was known to be the newest
// revision, from its own reads of the store and from confirmations by peers. The estimate
// decides which processes read the store. A delayed message makes it too low, which only
// delays a read; decisions that must not rest on an estimate use a Proof.
//
// Times are those of a clock that keeps running while the machine is suspended (package
// clock). Peers exchange ages, so that clocks of different machines are never compared. A
// Freshness is not safe for concurrent use.
type Freshness struct {
	// Last time the document was known to be the newest revision, zero if never.
	verified time.Time
	// The last such time that a peer confirmed, zero if none did.
	confirmed time.Time
}

// RecordVerified records that the store held no newer revision than the document at the given time.
func (f *Freshness) RecordVerified(at time.Time) {
	if at.After(f.verified) {
		f.verified = at
	}
}

// RecordConfirmation records that a peer with the same document knew it to be the newest
// revision the given age ago.
func (f *Freshness) RecordConfirmation(now time.Time, age time.Duration) {
	at := now.Add(-age)
	if at.After(f.confirmed) {
		f.confirmed = at
	}
	f.RecordVerified(at)
}

// Age returns the time since the document was last known to be the newest revision, and false
// if it never was.
func (f *Freshness) Age(now time.Time) (age time.Duration, known bool) {
	if f.verified.IsZero() {
		return 0, false
	}
	return max(now.Sub(f.verified), 0), true
}

// Bounds on the age of confirmations by peers. A confirmation passes from the few processes
// that watch the store from process to process, so its age grows by about the same time with
// each doubling of the mesh. With these values, TestFewProcessesReadStore finds less than 3 of 100
// checks that reach the store, in meshes of 14 to 1000 processes.
const (
	// smallMesh is the size, in processes, up to which smallMeshAge applies.
	smallMesh = 14
	// smallMeshAge is the bound in a small mesh: a few gossip intervals.
	smallMeshAge = 2500 * time.Millisecond
	// agePerDoubling is added for each doubling of the size.
	agePerDoubling = 500 * time.Millisecond
)

// MaximumConfirmationAge returns the age up to which a confirmation by a peer is valid, in a
// mesh of the given number of processes. Without a valid confirmation, a process reads the
// store itself. If the bound is too low, most processes of a large mesh read the store all the
// time.
func MaximumConfirmationAge(size int) time.Duration {
	doublings := math.Log2(max(float64(size)/smallMesh, 1))
	return smallMeshAge + time.Duration(doublings*float64(agePerDoubling))
}

// IsConfirmed reports whether a confirmation by a peer is valid in a mesh of the given number
// of processes. If none is, this process may be cut off from its peers, or all its peers from
// the store, and it must read the store itself.
func (f *Freshness) IsConfirmed(now time.Time, size int) bool {
	return !f.confirmed.IsZero() && now.Sub(f.confirmed) <= MaximumConfirmationAge(size)
}

// rereadAfter is the time after which a process without a valid confirmation reads the store
// again.
const rereadAfter = time.Second

// MustReadStore reports whether a process that does not watch the store must read it, in a mesh of
// the given number of processes: no confirmation is valid, and the document was not known to
// be the newest revision within rereadAfter, for example from an earlier read.
func (f *Freshness) MustReadStore(now time.Time, size int) bool {
	if f.IsConfirmed(now, size) {
		return false
	}
	return f.verified.IsZero() || now.Sub(f.verified) >= rereadAfter
}
