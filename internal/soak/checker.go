package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Invariant is a property that must hold during a soak.
type Invariant string

// Invariants, with the texts that reports show.
const (
	CompleteAnswer       Invariant = "every caller gets the whole answer to its own request"
	AtMostOnce           Invariant = "a request that may not be repeated runs at most once"
	RefusedNotRun        Invariant = "what is refused as not run has not run and never will"
	OnlySentRequests     Invariant = "back ends run nothing that no caller sent"
	NoRequestsAfterDrain Invariant = "a back end that is leaving gets no new requests"
	CrashesBounded       Invariant = "a request that crashes back ends is stopped after the third"
	RateLimitKept        Invariant = "a back end gets no more requests than the rate limit that it declares"
	OnlyOwnHeartbeats    Invariant = "a node acknowledges the heartbeats of its own back end only"
	NoUnexpectedExit     Invariant = "processes end only when they are told to"
	Recovery             Invariant = "requests are served again after the faults"
	PlannedStop          Invariant = "a planned stop cuts off no request"
)

// Violation is a violated invariant.
type Violation struct {
	Invariant Invariant     `json:"promise"`
	At        time.Duration `json:"at"` // Time since the start of the soak.
	What      string        `json:"what"`
}

// Bounds of invariants that allow for a delay.
const (
	// drainTime is the time after which a draining back end gets no more requests.
	drainTime = 2 * time.Second
	// settleTime is the time without faults after which the state that processes have of each
	// other must be up to date.
	settleTime = 3 * time.Second
	// crashesUntilStopped is the number of crashed back ends after which a request must be stopped.
	crashesUntilStopped = 3
	// lateRunsAllowed is the number of times that such a request may still reach back ends,
	// counted from settleTime after the last of these crashes.
	lateRunsAllowed = 3
)

// Outcome is the outcome of a request for its caller.
type Outcome struct {
	Status  int  // HTTP status. 0: no complete response.
	Correct bool // The response is complete and belongs to this request.
	// Planned is set if only a planned stop of the process can explain a broken connection.
	Planned bool
}

// Checker receives events from callers and back ends and records violated invariants. It is safe
// for concurrent use.
type Checker struct {
	started time.Time

	mutex      sync.Mutex
	requests   map[string]*request
	draining   map[string]time.Time  // Draining incarnations, with the time of the acknowledgement.
	limits     map[string]*rateLimit // By incarnation.
	crashers   map[string]*crasher   // By name, see Kind.Crasher.
	served     map[string]int        // By kind.
	sent       map[string]int        // By kind.
	violations []Violation
}

// request is the state of one request of a caller.
type request struct {
	kind    Kind
	runs    int
	refusal int // Status of a refusal, which promises that the request doesn't run. 0: none.
}

// crasher is the state of a request that crashes back ends, over all its attempts.
type crasher struct {
	incarnations map[string]bool // Incarnations that it reached.
	thirdAt      time.Time       // When it reached the third one.
	lateRuns     int             // Runs later than settleTime after that.
}

// Kind is a kind of request.
type Kind struct {
	Name       string
	Repeatable bool
	// Crasher identifies a request that crashes back ends over all its attempts. Empty for
	// other requests.
	Crasher string
}

// NewChecker returns a Checker for a soak that starts now.
func NewChecker(now time.Time) *Checker {
	return &Checker{
		started:  now,
		requests: map[string]*request{},
		draining: map[string]time.Time{},
		limits:   map[string]*rateLimit{},
		crashers: map[string]*crasher{},
		served:   map[string]int{},
		sent:     map[string]int{},
	}
}

// RequestSent records that a caller is about to send a request.
func (c *Checker) RequestSent(id string, kind Kind) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.requests[id] = &request{kind: kind}
	c.sent[kind.Name]++
}

// RequestEnded records the outcome of a request.
func (c *Checker) RequestEnded(now time.Time, id string, outcome Outcome) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	state := c.requests[id]
	switch outcome.Status {
	case 0:
		if outcome.Planned && state.runs > 0 {
			c.violate(now, PlannedStop, "request %s (%s) ran, and its connection broke during a planned stop", id, state.kind.Name)
		}
	case 200:
		if !outcome.Correct {
			c.violate(now, CompleteAnswer, "request %s got a response that is incomplete or belongs to another request", id)
			return
		}
		c.served[state.kind.Name]++
	case 408, 421, 429, 503:
		state.refusal = outcome.Status
		if state.runs > 0 {
			c.violate(now, RefusedNotRun, "request %s (%s) got status %d although it had run", id, state.kind.Name, outcome.Status)
		}
	}
}

// RequestStarted records that an incarnation has started to run a request. settled is false
// if the state of processes may still be out of date after a fault.
func (c *Checker) RequestStarted(now time.Time, id, incarnation string, settled bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if since, acknowledged := c.draining[incarnation]; acknowledged && now.Sub(since) > drainTime {
		c.violate(now, NoRequestsAfterDrain, "request %s reached %s %s after the node acknowledged that it is draining", id, incarnation, now.Sub(since).Round(time.Millisecond))
	}
	state, exists := c.requests[id]
	if !exists {
		if !isCall(id) {
			c.violate(now, OnlySentRequests, "request %s ran although no caller sent it", id)
		}
		return
	}
	state.runs++
	if !state.kind.Repeatable && state.runs > 1 {
		c.violate(now, AtMostOnce, "request %s (%s) ran %d times", id, state.kind.Name, state.runs)
	}
	if state.refusal != 0 {
		c.violate(now, RefusedNotRun, "request %s (%s) ran after its caller got status %d", id, state.kind.Name, state.refusal)
	}
	if state.kind.Crasher != "" {
		c.crasherStarted(now, state.kind.Crasher, incarnation, settled)
	}
}

// crasherStarted counts a run of a request that crashes back ends. The caller holds the mutex.
func (c *Checker) crasherStarted(now time.Time, name, incarnation string, settled bool) {
	state, exists := c.crashers[name]
	if !exists {
		state = &crasher{incarnations: map[string]bool{}}
		c.crashers[name] = state
	}
	if settled && !state.thirdAt.IsZero() && now.Sub(state.thirdAt) > settleTime {
		state.lateRuns++
		if state.lateRuns == lateRunsAllowed+1 {
			c.violate(now, CrashesBounded, "%s reached back ends %d more times, %s after the third crash", name, state.lateRuns, now.Sub(state.thirdAt).Round(time.Millisecond))
		}
	}
	state.incarnations[incarnation] = true
	if len(state.incarnations) == crashesUntilStopped && state.thirdAt.IsZero() {
		state.thirdAt = now
	}
}

// DrainAcknowledged records that the node has acknowledged that an incarnation is draining.
func (c *Checker) DrainAcknowledged(now time.Time, incarnation string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.draining[incarnation] = now
}

// Violate records a violated invariant that was detected outside the Checker.
func (c *Checker) Violate(now time.Time, invariant Invariant, format string, arguments ...any) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.violate(now, invariant, format, arguments...)
}

// violate records a violated invariant. The caller holds the mutex.
func (c *Checker) violate(now time.Time, invariant Invariant, format string, arguments ...any) {
	c.violations = append(c.violations, Violation{Invariant: invariant, At: now.Sub(c.started), What: fmt.Sprintf(format, arguments...)})
}

// Violations returns the violated invariants recorded so far.
func (c *Checker) Violations() []Violation {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return append([]Violation{}, c.violations...)
}

// Counts returns the number of requests sent and served, by kind.
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

// Crashes returns the number of incarnations that each crashing request has reached.
func (c *Checker) Crashes() map[string]int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	crashes := map[string]int{}
	for name, state := range c.crashers {
		crashes[name] = len(state.incarnations)
	}
	return crashes
}

// isCall reports whether an id is that of a call made by a back end.
func isCall(id string) bool { return strings.Contains(id, ".") }
