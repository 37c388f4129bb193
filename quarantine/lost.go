package quarantine

import "time"

// Bounds of LostRequests.
const (
	// lossWindow is the time before the last loss within which others count as lost in the
	// same crash. A request that its caller gave up may run on for a while, and a back end
	// that crashes breaks all its connections within milliseconds.
	lossWindow = time.Second
	// maximumLosses bounds the losses that are remembered: above the requests that a back
	// end works on at a time.
	maximumLosses = 1024
)

// LostRequests remembers which requests the back end of one node did not answer, so that
// they can be named when it turns out that it has crashed. It is not safe for concurrent
// use. The zero value is empty.
type LostRequests struct {
	instance string // the incarnation that they were handed to
	losses   []loss // in order of time
}

// loss is a request that ended without an answer.
type loss struct {
	at        time.Time
	signature Signature
}

// Add notes that a request which was handed to an incarnation ended without an answer:
// its connection broke, or nobody waits for it any more.
func (r *LostRequests) Add(now time.Time, instance string, signature Signature) {
	if instance != r.instance {
		r.instance, r.losses = instance, nil
	}
	if len(r.losses) == maximumLosses {
		r.losses = append(r.losses[:0], r.losses[maximumLosses/2:]...)
	}
	r.losses = append(r.losses, loss{at: now, signature: signature})
}

// Suspects returns the requests that were lost together with an incarnation which has
// crashed, each once.
func (r *LostRequests) Suspects(instance string) []Signature {
	if instance != r.instance || len(r.losses) == 0 {
		return nil
	}
	since := r.losses[len(r.losses)-1].at.Add(-lossWindow)
	suspects := []Signature{}
	listed := map[Signature]bool{}
	for _, lost := range r.losses {
		if lost.at.Before(since) || listed[lost.signature] {
			continue
		}
		listed[lost.signature] = true
		suspects = append(suspects, lost.signature)
	}
	return suspects
}
