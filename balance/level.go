package balance

import "time"

// SetLevel records the admission level that a node showed for a call path.
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
		s.levels = map[string]shownLevel{}
	}
	s.levels[path] = shownLevel{level: level, at: now}
}

// levelBits is the number of bits of the highest level, 1024, and more: after as many half
// lives a level is forgotten.
const levelBits = 16

// levelOf returns the level of a node for a call path, forgotten with time.
func (b *Balancer) levelOf(now time.Time, s *state, path string) int {
	shown, exists := s.levels[path]
	if !exists {
		return 0
	}
	age := now.Sub(shown.at)
	if age <= levelHalfLife {
		return shown.level
	}
	return shown.level >> min(int(age/levelHalfLife), levelBits)
}

// Level returns the mean admission level for a call path of the nodes that take
// calls. Calls of a lower priority are better refused here than further down.
// The mean, not the lowest: with the lowest, what one node would still admit is
// sent on by every caller at once, and most of it is refused after other
// services have worked for it.
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
