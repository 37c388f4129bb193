package ratelimit

import "time"

// usedShare is the part of a limit that callers use while other nodes have room. The rest is for
// calls that no other node takes, and keeps callers that meet by chance from being refused.
const usedShare = 0.8

// Share is the part of a node's rate limit that one caller uses. It is not safe for concurrent
// use.
type Share struct {
	interval time.Duration
	nextAt   time.Time
}

// maximumInterval bounds the time between two calls of one caller to a limited node, so that each
// caller notices that the limit has ended.
const maximumInterval = time.Minute

// Set sets the limit and the number of callers. random, in [0, 1), spreads the first calls of all
// callers.
func (s *Share) Set(now time.Time, limit Rate, callers int, random float64) {
	interval := maximumInterval
	if limit > 0 {
		seconds := float64(max(callers, 1)) / (usedShare * float64(limit))
		interval = time.Duration(min(seconds, maximumInterval.Seconds()) * float64(time.Second))
	}
	if s.interval == 0 {
		s.nextAt = now.Add(time.Duration(random * float64(interval)))
	}
	s.interval = interval
	if latest := now.Add(interval); s.nextAt.After(latest) {
		s.nextAt = latest
	}
}

// Open reports whether the caller's part of the limit has room.
func (s *Share) Open(now time.Time) bool { return !now.Before(s.nextAt) }

// Use counts a call to the node, also one that was made while the Share was not open.
func (s *Share) Use(now time.Time) {
	latest := now.Add(s.interval)
	s.nextAt = s.nextAt.Add(s.interval)
	if s.nextAt.Before(now) || s.nextAt.After(latest) {
		s.nextAt = latest
	}
}
