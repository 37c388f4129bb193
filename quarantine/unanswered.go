package quarantine

import "time"

// Limits of UnansweredRequests.
const (
	// crashWindow is the time before the last unanswered request within which others count as
	// in flight in the same crash. A request whose caller has given up may keep running for a
	// while, and a crash breaks all connections of a back end within milliseconds.
	crashWindow = time.Second
	// maximumUnanswered is the maximum number of requests recorded, above the number of
	// requests that a back end runs at a time.
	maximumUnanswered = 1024
)

// UnansweredRequests records the requests that the back end of one node did not answer. They are
// the suspects if the back end turns out to have crashed. It is not safe for concurrent use.
// The zero value is empty.
type UnansweredRequests struct {
	// Incarnation that the requests were sent to.
	incarnation string
	// In the order of time.
	unanswered []unansweredRequest
}

// unansweredRequest is a request that ended without an answer.
type unansweredRequest struct {
	at        time.Time
	signature Signature
}

// Add records that a request sent to an incarnation ended without an answer: its connection
// broke, or its caller gave up.
func (r *UnansweredRequests) Add(now time.Time, incarnation string, signature Signature) {
	if incarnation != r.incarnation {
		r.incarnation, r.unanswered = incarnation, nil
	}
	if len(r.unanswered) == maximumUnanswered {
		r.unanswered = append(r.unanswered[:0], r.unanswered[maximumUnanswered/2:]...)
	}
	r.unanswered = append(r.unanswered, unansweredRequest{at: now, signature: signature})
}

// Suspects returns the requests that were in flight when an incarnation crashed, each once.
func (r *UnansweredRequests) Suspects(incarnation string) []Signature {
	if incarnation != r.incarnation || len(r.unanswered) == 0 {
		return nil
	}
	since := r.unanswered[len(r.unanswered)-1].at.Add(-crashWindow)
	suspects := []Signature{}
	listed := map[Signature]bool{}
	for _, request := range r.unanswered {
		if request.at.Before(since) || listed[request.signature] {
			continue
		}
		listed[request.signature] = true
		suspects = append(suspects, request.signature)
	}
	return suspects
}
