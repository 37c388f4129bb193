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

// TestTheCheckerFindsBrokenPromises: each promise that is broken is found, and nothing else.
func TestTheCheckerFindsBrokenPromises(t *testing.T) {
	at := func(after time.Duration) time.Time { return start.Add(after) }
	cases := []struct {
		name   string
		happen func(c *Checker)
		broken []Promise
	}{
		{"all is well", func(c *Checker) {
			c.Sent("a", safe)
			c.Ran(at(0), "a", "i", true)
			c.Ran(at(0), "a.1", "j", true)
			c.Ran(at(0), "a", "k", true)
			c.Ended(at(0), "a", Answer{Status: 200, Own: true})
		}, nil},
		{"another's answer", func(c *Checker) {
			c.Sent("a", safe)
			c.Ended(at(0), "a", Answer{Status: 200})
		}, []Promise{OwnAnswer}},
		{"twice", func(c *Checker) {
			c.Sent("a", unsafe)
			c.Ran(at(0), "a", "i", true)
			c.Ran(at(0), "a", "j", true)
		}, []Promise{OnceAtMost}},
		{"refused and had run", func(c *Checker) {
			c.Sent("a", safe)
			c.Ran(at(0), "a", "i", true)
			c.Ended(at(0), "a", Answer{Status: 503})
		}, []Promise{NotRun}},
		{"refused and runs later", func(c *Checker) {
			c.Sent("a", unsafe)
			c.Ended(at(0), "a", Answer{Status: 503})
			c.Ran(at(0), "a", "i", true)
		}, []Promise{NotRun}},
		{"a failure promises nothing", func(c *Checker) {
			c.Sent("a", unsafe)
			c.Ran(at(0), "a", "i", true)
			c.Ended(at(0), "a", Answer{Status: 502})
		}, nil},
		{"nobody asked", func(c *Checker) { c.Ran(at(0), "a", "i", true) }, []Promise{NothingUnasked}},
		{"leaving, in time", func(c *Checker) {
			c.Sent("a", safe)
			c.Closed(at(0), "i")
			c.Ran(at(drainTime), "a", "i", true)
		}, nil},
		{"leaving, too late", func(c *Checker) {
			c.Sent("a", safe)
			c.Closed(at(0), "i")
			c.Ran(at(drainTime+1), "a", "i", true)
		}, []Promise{DrainedIsClosed}},
		{"crashes, known in time", func(c *Checker) {
			c.Sent("a", crashes)
			for _, instance := range []string{"i", "j", "k", "l", "m", "n", "o"} {
				c.Ran(at(0), "a", instance, true)
			}
		}, nil},
		{"crashes, on and on", func(c *Checker) {
			c.Sent("a", crashes)
			for i, instance := range []string{"i", "j", "k", "l", "m", "n", "o", "p"} {
				c.Ran(at(time.Duration(i)*2*settleTime), "a", instance, true)
			}
		}, []Promise{CrashesBounded}},
		{"the same, before the processes have settled", func(c *Checker) {
			c.Sent("a", crashes)
			for i, instance := range []string{"i", "j", "k", "l", "m", "n", "o", "p"} {
				c.Ran(at(time.Duration(i)*2*settleTime), "a", instance, false)
			}
		}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			checker := NewChecker(start)
			c.happen(checker)
			found := []Promise(nil)
			for _, violation := range checker.Violations() {
				found = append(found, violation.Promise)
			}
			is.Equal(found, c.broken)
		})
	}
}
