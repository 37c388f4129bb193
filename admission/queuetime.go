package admission

import "time"

const (
	// queueTimeDivisor divides a target latency to get the maximum queue time. An early
	// refusal leaves time for another attempt.
	queueTimeDivisor = 5
	// ownTimeSmoothing is the weight of one request in the smoothed own time.
	ownTimeSmoothing = 0.05
	// minimumTimeLeft is the share of the usual own time that must be left until the
	// deadline of a request. With less, the answer would hardly arrive in time.
	minimumTimeLeft = 0.5
	// criticalQueueFactor multiplies the usual own time to get the maximum queue time of
	// requests of the highest class. They are served first, so that they delay no others
	// by waiting, and are refused only when they can't finish in time.
	criticalQueueFactor = 4
)

// MaximumQueueTime returns the maximum queue time of a request with a target latency
// (Request.MaximumQueueTime), 0 if target is 0.
func MaximumQueueTime(target time.Duration) time.Duration { return target / queueTimeDivisor }

// queueTimes computes how long requests may wait for a slot. It relies on the usual own
// time of the back end, since slots become free at that pace.
type queueTimes struct {
	// Config.QueueTime.
	queueTime time.Duration
	// Smoothed own time of the back end in seconds.
	ownTime float64
}

// observe records the own time of a served request.
func (q *queueTimes) observe(ownTime time.Duration) {
	q.ownTime += ownTimeSmoothing * (ownTime.Seconds() - q.ownTime)
}

func (q *queueTimes) usualOwnTime() time.Duration {
	return time.Duration(q.ownTime * float64(time.Second))
}

// delayTarget returns the time in the queue above which the queue counts as too long.
func (q *queueTimes) delayTarget() time.Duration { return max(q.queueTime, q.usualOwnTime()) }

// expiry returns when a request that is queued now stops waiting.
func (q *queueTimes) expiry(now time.Time, request *Request) time.Time {
	if request.HasUpstreamWork && !request.Deadline.IsZero() {
		return request.Deadline
	}
	usual := q.usualOwnTime()
	if ClassOf(request.Priority) == classes-1 {
		usual *= criticalQueueFactor
	}
	return now.Add(max(q.queueTime, usual, request.MaximumQueueTime))
}

// tooLate reports whether the answer to a request would miss its deadline.
func (q *queueTimes) tooLate(now time.Time, request *Request) bool {
	if request.Deadline.IsZero() {
		return false
	}
	left := request.Deadline.Sub(now).Seconds()
	return left <= 0 || left < minimumTimeLeft*q.ownTime
}
