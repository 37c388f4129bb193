package soak

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

var (
	safe    = Kind{Name: "safe", Repeatable: true}
	unsafe  = Kind{Name: "unsafe"}
	crashes = Kind{Name: "crash", Repeatable: true, Crasher: "x"}
)

// Guards against a Checker that misses a violated invariant or reports one that held.
func TestCheckerFindsViolations(t *testing.T) {
	at := func(after time.Duration) time.Time { return start.Add(after) }
	cases := []struct {
		name   string
		events func(c *Checker)
		want   []Invariant
	}{
		{"no violation", func(c *Checker) {
			c.RequestSent("a", safe)
			c.RequestStarted(at(0), "a", "i", true)
			c.RequestStarted(at(0), "a.1", "j", true)
			c.RequestStarted(at(0), "a", "k", true)
			c.RequestEnded(at(0), "a", Outcome{Status: 200, Correct: true})
		}, nil},
		{"response of another request", func(c *Checker) {
			c.RequestSent("a", safe)
			c.RequestEnded(at(0), "a", Outcome{Status: 200})
		}, []Invariant{CompleteAnswer}},
		{"run twice", func(c *Checker) {
			c.RequestSent("a", unsafe)
			c.RequestStarted(at(0), "a", "i", true)
			c.RequestStarted(at(0), "a", "j", true)
		}, []Invariant{AtMostOnce}},
		{"refused after it ran", func(c *Checker) {
			c.RequestSent("a", safe)
			c.RequestStarted(at(0), "a", "i", true)
			c.RequestEnded(at(0), "a", Outcome{Status: 503})
		}, []Invariant{RefusedNotRun}},
		{"run after it was refused", func(c *Checker) {
			c.RequestSent("a", unsafe)
			c.RequestEnded(at(0), "a", Outcome{Status: 503})
			c.RequestStarted(at(0), "a", "i", true)
		}, []Invariant{RefusedNotRun}},
		{"failed after it ran", func(c *Checker) {
			c.RequestSent("a", unsafe)
			c.RequestStarted(at(0), "a", "i", true)
			c.RequestEnded(at(0), "a", Outcome{Status: 502})
		}, nil},
		{"run but not sent", func(c *Checker) { c.RequestStarted(at(0), "a", "i", true) }, []Invariant{OnlySentRequests}},
		{"draining, request in time", func(c *Checker) {
			c.RequestSent("a", safe)
			c.DrainAcknowledged(at(0), "i")
			c.RequestStarted(at(drainTime), "a", "i", true)
		}, nil},
		{"draining, request too late", func(c *Checker) {
			c.RequestSent("a", safe)
			c.DrainAcknowledged(at(0), "i")
			c.RequestStarted(at(drainTime+1), "a", "i", true)
		}, []Invariant{NoRequestsAfterDrain}},
		{"rate limit, kept", func(c *Checker) {
			sendAtRate(c, 5, 7, 10*time.Second)
		}, nil},
		{"rate limit, broken", func(c *Checker) {
			sendAtRate(c, 5, 10, 6*time.Second)
		}, []Invariant{RateLimitKept}},
		{"rate limit, too many before it holds", func(c *Checker) {
			sendAtRate(c, 5, 100, limitDelay-time.Millisecond)
		}, nil},
		{"rate limit, ended", func(c *Checker) {
			c.RateLimitDeclared(at(0), "i", 5)
			c.RateLimitDeclared(at(time.Second), "i", 0)
			for i := range 1000 {
				c.Arrived(at(4*time.Second+time.Duration(i)*time.Millisecond), "i")
			}
		}, nil},
		{"rate limit, fell a moment ago", func(c *Checker) {
			sendAtRate(c, 20, 20, 8*time.Second)
			c.RateLimitDeclared(at(8*time.Second), "i", 1)
			c.Arrived(at(9*time.Second), "i")
		}, nil},
		{"crashes, stopped in time", func(c *Checker) {
			c.RequestSent("a", crashes)
			for _, incarnation := range []string{"i", "j", "k", "l", "m", "n", "o"} {
				c.RequestStarted(at(0), "a", incarnation, true)
			}
		}, nil},
		{"crashes, not stopped", func(c *Checker) {
			c.RequestSent("a", crashes)
			for i, incarnation := range []string{"i", "j", "k", "l", "m", "n", "o", "p"} {
				c.RequestStarted(at(time.Duration(i)*2*settleTime), "a", incarnation, true)
			}
		}, []Invariant{CrashesBounded}},
		{"crashes, not stopped, not settled", func(c *Checker) {
			c.RequestSent("a", crashes)
			for i, incarnation := range []string{"i", "j", "k", "l", "m", "n", "o", "p"} {
				c.RequestStarted(at(time.Duration(i)*2*settleTime), "a", incarnation, false)
			}
		}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			checker := NewChecker(start)
			c.events(checker)
			found := []Invariant(nil)
			for _, violation := range checker.Violations() {
				found = append(found, violation.Invariant)
			}
			is.Equal(found, c.want)
		})
	}
}

// sendAtRate lets requests arrive at an incarnation that declares a limit in each answer.
func sendAtRate(c *Checker, limit, rate float64, duration time.Duration) {
	for after := time.Duration(0); after < duration; after += time.Duration(float64(time.Second) / rate) {
		c.Arrived(start.Add(after), "i")
		c.RateLimitDeclared(start.Add(after), "i", limit)
	}
}
