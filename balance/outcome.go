package balance

import "time"

// Outcome is the result of a call as far as it concerns the node.
type Outcome int

// Outcomes.
const (
	// Answered: the back end gave a complete answer.
	Answered Outcome = iota
	// Faulty: the answer of the back end reports a failure.
	Faulty
	// Refused: the node did not run the call.
	Refused
	// Failed: there was no connection, it broke, or there was no answer in time.
	Failed
	// Unknown: the caller gave up. Only the time that it waited is recorded.
	Unknown
)

// smoothing is the weight of one call in the smoothed latency of a node and in a
// DecayingShare.
const smoothing = 0.1

// Done records the end of a call for which Pick selected the node id. latency is the time
// until the answer or until the call ended without one.
func (b *Balancer) Done(now time.Time, id string, latency time.Duration, outcome Outcome) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s, exists := b.states[id]
	if !exists {
		return
	}
	s.inFlight = max(s.inFlight-1, 0)
	s.onTrial = false
	s.refusals.Observe(now, refusalHalfLife, outcome == Refused)
	switch outcome {
	case Answered, Faulty:
		b.updateLatency(now, s, latency)
		s.faults.Observe(now, FaultHalfLife, outcome == Faulty)
		b.resetFailures(s)
	case Refused:
		b.resetFailures(s)
	case Unknown:
		b.recordMinimumLatency(now, s, latency)
	case Failed:
		b.recordMinimumLatency(now, s, latency)
		s.faults.Observe(now, FaultHalfLife, true)
		s.failures++
		if s.failures >= ejectAfter || s.ejections > 0 {
			b.eject(now, s)
		}
	}
}

// resetFailures ends a series of failures, and an ejection, after the node has responded.
func (b *Balancer) resetFailures(s *nodeState) {
	s.failures = 0
	if s.ejections > 0 {
		s.ejections = 0
		b.config.OnEject(s.target, false)
	}
}

// updateLatency records the latency of a call. Its weight grows with the age of the known
// latency, so that a node recovers from a slow period with its first fast answers.
func (b *Balancer) updateLatency(now time.Time, s *nodeState, latency time.Duration) {
	weight := 1 - (1-smoothing)*decay(now.Sub(s.latencyAt), latencyHalfLife)
	s.latencyAt = now
	if s.latency == 0 {
		weight = 1
	}
	s.latency += weight * (latency.Seconds() - s.latency)
}

// slowCallFactor is the ratio to the usual latency above which a call without an answer
// shows that the node became slow. A shorter one may merely have broken off.
const slowCallFactor = 2

// recordMinimumLatency records a call that ended without an answer after some time, which
// is a lower bound of its latency. Without this, a node that became so slow that callers
// give up would keep its earlier latency.
func (b *Balancer) recordMinimumLatency(now time.Time, s *nodeState, minimum time.Duration) {
	if s.latency > 0 && minimum.Seconds() > slowCallFactor*s.latency {
		b.updateLatency(now, s, minimum)
	}
}

// maximumDoublings bounds the shift that doubles the length of an ejection, so that it
// can't overflow.
const maximumDoublings = 10

// eject excludes a node for a while, longer with each consecutive ejection.
func (b *Balancer) eject(now time.Time, s *nodeState) {
	wait := min(ejectTime<<min(s.ejections, maximumDoublings), maximumEjectTime)
	s.ejectedUntil = now.Add(wait)
	s.ejections++
	s.failures = 0
	if s.ejections == 1 {
		b.config.OnEject(s.target, true)
	}
}

// Latency returns the smoothed latency of a node, 0 if it is unknown.
func (b *Balancer) Latency(id string) time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if s, exists := b.states[id]; exists {
		return time.Duration(s.latency * float64(time.Second))
	}
	return 0
}
