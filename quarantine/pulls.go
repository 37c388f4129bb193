package quarantine

import (
	"slices"
	"time"
)

// Pulls decides from which peers a process fetches crashes that it does not know. A peer that does not
// answer delays nothing: other peers with the same digest are asked meanwhile.
//
// The zero value is ready to use. Times are those of a clock that keeps running while the machine is
// suspended (package clock). A Pulls is not safe for concurrent use.
type Pulls struct {
	running []pull
	// When the crashes of a digest were fetched, whole. A peer that knows fewer crashes than this
	// process keeps sending its digest until it has caught up.
	fetchedAt map[uint64]time.Time
}

// pull is a transfer that has begun.
type pull struct {
	peer   string
	digest uint64
	at     time.Time
}

const (
	// maximumPulls bounds the concurrent transfers.
	maximumPulls = 3
	// hedgeDelay is the time after which a transfer without an answer is followed by one from
	// another peer with the same digest.
	hedgeDelay = 200 * time.Millisecond
	// minimumPullInterval is the minimum time between two complete transfers for the same digest.
	minimumPullInterval = 2 * time.Second
	// maximumFetchedDigests bounds the number of recorded digests.
	maximumFetchedDigests = 64
)

// Begin reports whether the crashes of a peer, whose digest differs from that of this process, are
// fetched now. The caller must call Ended when the transfer has ended.
func (p *Pulls) Begin(now time.Time, peer string, digest uint64) bool {
	if at, known := p.fetchedAt[digest]; known && now.Sub(at) < minimumPullInterval {
		return false
	}
	isEarly := func(running pull) bool {
		return running.peer == peer || (running.digest == digest && now.Sub(running.at) < hedgeDelay)
	}
	if len(p.running) >= maximumPulls || slices.ContainsFunc(p.running, isEarly) {
		return false
	}
	p.running = append(p.running, pull{peer: peer, digest: digest, at: now})
	return true
}

// Ended records that a transfer from a peer has ended, and whether it was complete.
func (p *Pulls) Ended(now time.Time, peer string, isComplete bool) {
	i := slices.IndexFunc(p.running, func(running pull) bool { return running.peer == peer })
	if i < 0 {
		return
	}
	ended := p.running[i]
	p.running = slices.Delete(p.running, i, i+1)
	if !isComplete {
		return
	}
	if p.fetchedAt == nil || len(p.fetchedAt) >= maximumFetchedDigests {
		p.fetchedAt = map[uint64]time.Time{}
	}
	p.fetchedAt[ended.digest] = now
}
