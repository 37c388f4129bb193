package admission

import "time"

const (
	// patienceDivisor makes a target latency the time that a request may wait for a slot:
	// one part in so many. A refusal that comes sooner leaves time to come again. Estimate.
	patienceDivisor = 5
	// ownSmoothing is the weight of one request in the smoothed own time.
	ownSmoothing = 0.05
	// leastTimeLeft is the share of the usual own time that must be left until the
	// deadline of a request: with less, its answer would hardly come in time.
	leastTimeLeft = 0.5
	// criticalPatience is how many usual times of the back end a request of the highest
	// class may wait. It is served first, so that waiting costs the others nothing, and it
	// is refused only when it cannot finish in time. In virtual time, 4 in place of 1
	// completed 0.94 of the requests of the highest class in place of 0.82.
	criticalPatience = 4
)

// PatienceOf returns how long a request with a target latency may wait for a slot, 0 when
// there is none (Request.Patience).
func PatienceOf(target time.Duration) time.Duration { return target / patienceDivisor }

// patience decides how long requests may wait for a slot, by the time that the back end
// usually takes: slots become free at that pace.
type patience struct {
	queueTime time.Duration // Config.QueueTime
	own       float64       // smoothed own time of the back end, seconds
}

// learn takes the own time of a request that was served.
func (p *patience) learn(own time.Duration) {
	p.own += ownSmoothing * (own.Seconds() - p.own)
}

func (p *patience) usual() time.Duration {
	return time.Duration(p.own * float64(time.Second))
}

// delayTarget is the time in the queue from which on the queue is too long.
func (p *patience) delayTarget() time.Duration { return max(p.queueTime, p.usual()) }

// expiry returns until when a request that is queued now may wait.
func (p *patience) expiry(now time.Time, request *Request) time.Time {
	if request.Committed && !request.Deadline.IsZero() {
		return request.Deadline
	}
	usual := p.usual()
	if ClassOf(request.Priority) == classes-1 {
		usual *= criticalPatience
	}
	return now.Add(max(p.queueTime, usual, request.Patience))
}

// tooLate reports whether the answer to a request would come after its deadline.
func (p *patience) tooLate(now time.Time, request *Request) bool {
	if request.Deadline.IsZero() {
		return false
	}
	left := request.Deadline.Sub(now).Seconds()
	return left <= 0 || left < leastTimeLeft*p.own
}
