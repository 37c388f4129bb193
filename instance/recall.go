package instance

import "time"

// Recall decides whether a process that has just started knows which starts of its back end had left before
// it started. Until then a heartbeat may be a late one of such a start, and opens no back end.
//
// The store knows all that was acknowledged. Peers that ran at the time know it too, but for what was
// acknowledged in the last moment. If all processes have ended, only the store does.
//
// The zero value knows nothing. Recall is not safe for concurrent use.
type Recall struct {
	known bool
	// Whether a peer that knew a process before this one has told what it knows.
	peerTold bool
}

// StorePatience is how long a process waits for the store before it relies on its peers.
const StorePatience = time.Second

// ObserveStore records that the store has been read.
func (r *Recall) ObserveStore() { r.known = true }

// ObservePredecessor records that a peer knew a process that ran here before and knew itself what had left, and
// has told what that process had acknowledged.
func (r *Recall) ObservePredecessor() { r.peerTold = true }

// ObservePeer records that a peer has told of all processes that it knows to have run here before. The peer
// had been running for some time when this process started. One that had run for longer than a heartbeat is late
// knows them all, also if there was none.
func (r *Recall) ObservePeer(running time.Duration) {
	if running >= latestHeartbeat {
		r.peerTold = true
	}
}

// Known reports whether the starts that had left are known, the given time after the start of the process. A
// heartbeat that arrives later than any late one was sent since then.
func (r *Recall) Known(uptime time.Duration) bool {
	if uptime >= latestHeartbeat || r.peerTold && uptime >= StorePatience {
		r.known = true
	}
	return r.known
}
