package quarantine

import "time"

// Bounds of what a Witness remembers.
const (
	// lossWindow is the time before the last loss in which others count as lost in the
	// same end. A request that its caller gave up may run on for a while, and a back end
	// that ends breaks all its connections within milliseconds.
	lossWindow = time.Second
	// maximumLosses bounds the losses that are remembered: above the requests that a back
	// end works on at a time.
	maximumLosses = 1024
)

// Witness remembers which requests the back end of one node was working on when they
// were lost, so that they can be named when it turns out that it has ended. It is not
// safe for concurrent use.
type Witness struct {
	instance string // the incarnation that the losses are of
	losses   []loss // in order of time
}

// loss is a request that ended without an answer.
type loss struct {
	at        time.Time
	signature Signature
}

// Lost notes that a request which was handed to an incarnation ended without an answer:
// its connection broke, or nobody waits for it any more.
func (w *Witness) Lost(now time.Time, instance string, signature Signature) {
	if instance != w.instance {
		w.instance, w.losses = instance, nil
	}
	if len(w.losses) == maximumLosses {
		w.losses = append(w.losses[:0], w.losses[maximumLosses/2:]...)
	}
	w.losses = append(w.losses, loss{at: now, signature: signature})
}

// Suspects returns the requests that were lost together with an incarnation which has
// ended, each once.
func (w *Witness) Suspects(instance string) []Signature {
	if instance != w.instance || len(w.losses) == 0 {
		return nil
	}
	since := w.losses[len(w.losses)-1].at.Add(-lossWindow)
	suspects := []Signature{}
	listed := map[Signature]bool{}
	for _, lost := range w.losses {
		if lost.at.Before(since) || listed[lost.signature] {
			continue
		}
		listed[lost.signature] = true
		suspects = append(suspects, lost.signature)
	}
	return suspects
}
