package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Promise names what a Violation breaks.
type Promise string

// Promises.
const (
	OwnAnswer       Promise = "every caller gets the whole answer to its own request"
	OnceAtMost      Promise = "a request that may not be repeated runs at most once"
	NotRun          Promise = "what is refused as not run has not run and never will"
	NothingUnasked  Promise = "back ends run nothing that no caller sent"
	DrainedIsClosed Promise = "a back end that is leaving gets no new requests"
	CrashesBounded  Promise = "a request that crashes back ends is stopped after the third"
	NoOwnExit       Promise = "processes end only when they are told to"
	Recovery        Promise = "requests are served again after the faults"
	PlannedStop     Promise = "a planned stop cuts off no request"
)

// Violation is a broken promise.
type Violation struct {
	Promise Promise       `json:"promise"`
	At      time.Duration `json:"at"` // since the start
	What    string        `json:"what"`
}

// Bounds of promises that hold after a time.
const (
	// drainTime is the time after which a leaving back end gets no more requests.
	drainTime = 2 * time.Second
	// settleTime is the time without faults after which a process must know what others do.
	settleTime = 3 * time.Second
	// crashesToKnow is the number of crashes after which a request must be stopped.
	crashesToKnow = 3
	// crashesLate is the number of times that it may reach back ends after that, settleTime later.
	crashesLate = 3
)

// Answer is how a request ended for its caller.
type Answer struct {
	Status int  // 0: none, the connection broke
	Own    bool // a success that is the whole answer to this very request
	// Planned says that nothing but a planned stop of the process can explain a connection
	// that broke.
	Planned bool
}

// Checker is told what callers and back ends see and finds broken promises. It is safe for
// concurrent use.
type Checker struct {
	started time.Time

	mutex      sync.Mutex
	requests   map[string]*request
	closed     map[string]time.Time // incarnations that leave, since when that is acknowledged
	crashers   map[string]*crasher  // by what the request asks for
	served     map[string]int       // by kind
	sent       map[string]int       // by kind
	violations []Violation
}

// request is one try of a caller.
type request struct {
	kind     Kind
	runs     int
	promised int // status that promised that it has not run, 0 for none
}

// crasher is a request that crashes back ends, over all its tries.
type crasher struct {
	instances map[string]bool
	third     time.Time
	late      int
}

// Kind is a kind of request.
type Kind struct {
	Name       string
	Repeatable bool
	// Crasher names what a request asks for that crashes back ends, "" for others.
	Crasher string
}

// NewChecker returns a Checker of a soak that starts now.
func NewChecker(now time.Time) *Checker {
	return &Checker{
		started:  now,
		requests: map[string]*request{},
		closed:   map[string]time.Time{},
		crashers: map[string]*crasher{},
		served:   map[string]int{},
		sent:     map[string]int{},
	}
}

// Sent tells that a caller is about to send a request.
func (c *Checker) Sent(id string, kind Kind) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.requests[id] = &request{kind: kind}
	c.sent[kind.Name]++
}

// Ended tells how a request ended for its caller.
func (c *Checker) Ended(now time.Time, id string, answer Answer) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known := c.requests[id]
	switch answer.Status {
	case 0:
		if answer.Planned && known.runs > 0 {
			c.violate(now, PlannedStop, "request %s (%s) ran, and its connection broke during a planned stop", id, known.kind.Name)
		}
	case 200:
		if !answer.Own {
			c.violate(now, OwnAnswer, "request %s got an answer that is not its own whole one", id)
			return
		}
		c.served[known.kind.Name]++
	case 408, 421, 429, 503:
		known.promised = answer.Status
		if known.runs > 0 {
			c.violate(now, NotRun, "request %s (%s) got %d and had run", id, known.kind.Name, answer.Status)
		}
	}
}

// Ran tells that an incarnation has begun to run a request. settled says that no fault has
// struck lately that excuses late knowledge.
func (c *Checker) Ran(now time.Time, id, instance string, settled bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if since, leaving := c.closed[instance]; leaving && now.Sub(since) > drainTime {
		c.violate(now, DrainedIsClosed, "request %s reached %s %s after its leaving was acknowledged", id, instance, now.Sub(since).Round(time.Millisecond))
	}
	known, exists := c.requests[id]
	if !exists {
		if !isCall(id) {
			c.violate(now, NothingUnasked, "request %s ran and nobody had sent it", id)
		}
		return
	}
	known.runs++
	if !known.kind.Repeatable && known.runs > 1 {
		c.violate(now, OnceAtMost, "request %s (%s) ran %d times", id, known.kind.Name, known.runs)
	}
	if known.promised != 0 {
		c.violate(now, NotRun, "request %s (%s) ran after its caller got %d", id, known.kind.Name, known.promised)
	}
	if known.kind.Crasher != "" {
		c.ranCrasher(now, known.kind.Crasher, instance, settled)
	}
}

// ranCrasher counts a request that crashes back ends. The mutex is held.
func (c *Checker) ranCrasher(now time.Time, name, instance string, settled bool) {
	known, exists := c.crashers[name]
	if !exists {
		known = &crasher{instances: map[string]bool{}}
		c.crashers[name] = known
	}
	if settled && !known.third.IsZero() && now.Sub(known.third) > settleTime {
		known.late++
		if known.late == crashesLate+1 {
			c.violate(now, CrashesBounded, "%s reached back ends %d times more, %s after the third had crashed", name, known.late, now.Sub(known.third).Round(time.Millisecond))
		}
	}
	known.instances[instance] = true
	if len(known.instances) == crashesToKnow && known.third.IsZero() {
		known.third = now
	}
}

// Closed tells that the leaving of an incarnation was acknowledged.
func (c *Checker) Closed(now time.Time, instance string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closed[instance] = now
}

// Violate records a promise that was found broken elsewhere.
func (c *Checker) Violate(now time.Time, promise Promise, format string, arguments ...any) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.violate(now, promise, format, arguments...)
}

// violate records a broken promise. The mutex is held.
func (c *Checker) violate(now time.Time, promise Promise, format string, arguments ...any) {
	c.violations = append(c.violations, Violation{Promise: promise, At: now.Sub(c.started), What: fmt.Sprintf(format, arguments...)})
}

// Violations returns the broken promises so far.
func (c *Checker) Violations() []Violation {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return append([]Violation{}, c.violations...)
}

// Counts returns how many requests of each kind were sent and served.
func (c *Checker) Counts() (sent, served map[string]int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	sent, served = map[string]int{}, map[string]int{}
	for kind, count := range c.sent {
		sent[kind] = count
	}
	for kind, count := range c.served {
		served[kind] = count
	}
	return sent, served
}

// CrashesOf returns how many back ends each crashing request has crashed.
func (c *Checker) CrashesOf() map[string]int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	crashes := map[string]int{}
	for name, known := range c.crashers {
		crashes[name] = len(known.instances)
	}
	return crashes
}

// isCall reports whether a request is one that a back end made for another: its id says so.
func isCall(id string) bool { return strings.Contains(id, ".") }
