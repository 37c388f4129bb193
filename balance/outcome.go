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
	Unknown                 // the caller gave up; nothing is learned
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
	s.refusals.learn(now, b.config.RefusalHalfLife, outcome == Refused)
	switch outcome {
	case Answered, Faulty:
		s.learnLatency(now, latency)
		s.faults.learn(now, b.config.FaultHalfLife, outcome == Faulty)
		b.responded(s)
	case Refused:
		b.responded(s)
	case Failed:
		s.faults.learn(now, b.config.FaultHalfLife, true)
		s.failures++
		if s.failures >= b.config.EjectAfter || s.ejections > 0 {
			b.eject(now, s)
		}
	}
}

// responded takes note that the node is there.
func (b *Balancer) responded(s *state) {
	s.failures = 0
	if s.ejections > 0 {
		s.ejections = 0
		b.config.OnEject(s.target, false)
	}
}

func (s *state) learnLatency(now time.Time, latency time.Duration) {
	s.learnedAt = now
	if s.latency == 0 {
		s.latency = latency.Seconds()
		return
	}
	s.latency += smoothing * (latency.Seconds() - s.latency)
}

func (b *Balancer) eject(now time.Time, s *state) {
	wait := min(b.config.EjectTime<<min(s.ejections, 10), b.config.MaximumEjectTime)
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
