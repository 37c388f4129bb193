package balance

import "time"

// Outcome is how a call ended, as far as it says something about the node.
type Outcome int

// Outcomes.
const (
	Answered Outcome = iota // a whole answer of the back end
	Faulty                  // an answer of the back end that tells of a failure
	Refused                 // the node did not run the call
	Failed                  // no connection, a broken one, or no answer in time
	Unknown                 // the caller gave up; only the time that it waited is learned
)

// smoothing is the weight of one call in the smoothed latency.
const smoothing = 0.1

// Done ends a call that Pick began.
func (b *Balancer) Done(now time.Time, id string, latency time.Duration, outcome Outcome) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s, exists := b.states[id]
	if !exists {
		return
	}
	s.inFlight = max(s.inFlight-1, 0)
	s.onTrial = false
	s.refusals.Learn(now, refusalHalfLife, outcome == Refused)
	switch outcome {
	case Answered, Faulty:
		b.learnLatency(now, s, latency)
		s.faults.Learn(now, FaultHalfLife, outcome == Faulty)
		b.responded(s)
	case Refused:
		b.responded(s)
	case Unknown:
		b.learnLeastLatency(now, s, latency)
	case Failed:
		b.learnLeastLatency(now, s, latency)
		s.faults.Learn(now, FaultHalfLife, true)
		s.failures++
		if s.failures >= ejectAfter || s.ejections > 0 {
			b.eject(now, s)
		}
	}
}

// responded ends a row of failures and an ejection: the node is there.
func (b *Balancer) responded(s *state) {
	s.failures = 0
	if s.ejections > 0 {
		s.ejections = 0
		b.config.OnEject(s.target, false)
	}
}

// learnLatency takes the latency of a call. It counts the more, the older what is
// known is, so that a node that was slow is not taken for slow after it has answered
// fast.
func (b *Balancer) learnLatency(now time.Time, s *state, latency time.Duration) {
	weight := 1 - (1-smoothing)*decay(now.Sub(s.learnedAt), latencyHalfLife)
	s.learnedAt = now
	if s.latency == 0 {
		weight = 1
	}
	s.latency += weight * (latency.Seconds() - s.latency)
}

// farLonger is how many times its usual latency a call must have waited for a node in
// vain to tell that the node became slow, rather than that the call broke.
const farLonger = 2

// learnLeastLatency takes a call that ended without an answer after some time. Its
// answer would have taken longer. Without this, a node that became so slow that its
// callers give up would keep the latency that it had before.
func (b *Balancer) learnLeastLatency(now time.Time, s *state, least time.Duration) {
	if s.latency > 0 && least.Seconds() > farLonger*s.latency {
		b.learnLatency(now, s, least)
	}
}

// mostDoublings bounds the shift by which the time of an ejection doubles, so that it
// can't overflow.
const mostDoublings = 10

// eject takes a node out for a while, longer each time in a row.
func (b *Balancer) eject(now time.Time, s *state) {
	wait := min(ejectTime<<min(s.ejections, mostDoublings), maximumEjectTime)
	s.ejectedUntil = now.Add(wait)
	s.ejections++
	s.failures = 0
	if s.ejections == 1 {
		b.config.OnEject(s.target, true)
	}
}

// Latency returns the smoothed latency of a node, 0 when it has not answered.
func (b *Balancer) Latency(id string) time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if s, exists := b.states[id]; exists {
		return time.Duration(s.latency * float64(time.Second))
	}
	return 0
}
