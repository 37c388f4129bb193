package balance

import "time"

// SetLevel records the admission level that a node reported for a call path.
func (b *Balancer) SetLevel(now time.Time, id, path string, level int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s, exists := b.states[id]
	if !exists {
		return
	}
	if level == 0 {
		delete(s.levels, path)
		return
	}
	if s.levels == nil {
		s.levels = map[string]reportedLevel{}
	}
	s.levels[path] = reportedLevel{level: level, at: now}
}

// levelBits bounds the shift that halves a level. It exceeds the bits of the highest
// level, 1024, so that a level is 0 after as many half-lives.
const levelBits = 16

// levelOf returns the level of a node for a call path, decayed since it was reported.
func (b *Balancer) levelOf(now time.Time, s *nodeState, path string) int {
	reported, exists := s.levels[path]
	if !exists {
		return 0
	}
	age := now.Sub(reported.at)
	if age <= levelHalfLife {
		return reported.level
	}
	return reported.level >> min(int(age/levelHalfLife), levelBits)
}

// Level returns the mean admission level of the nodes that take calls, for a call path.
// Calls of a lower priority are better refused here than downstream. It is not the
// minimum, because all callers would then send at once what only one node admits, and
// most of it would be refused after other services have worked for it.
func (b *Balancer) Level(now time.Time, path string) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	sum, count := 0, 0
	for _, candidate := range b.list {
		if candidate.target.Leaving || candidate.target.Suspect || candidate.ejected(now) {
			continue
		}
		sum += b.levelOf(now, candidate, path)
		count++
	}
	if count == 0 {
		return 0
	}
	return sum / count
}
