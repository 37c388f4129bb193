package admission

import (
	"container/heap"
	"sync"
	"time"
)

// Verdict is the outcome of asking for admission.
type Verdict int

// Verdicts.
const (
	Admitted Verdict = iota
	BelowLevel
	QueueFull
	TooLate // it cannot finish before its deadline
)

// Config configures a Controller.
type Config struct {
	// MinimumLimit and MaximumLimit bound the requests in flight. A minimum
	// that is too low starves a slow back end, a maximum that is too high
	// lets it queue inside. Defaults 2 and 200.
	MinimumLimit int
	MaximumLimit int

	// QueueTime is the longest time in the queue, unless the back end usually
	// takes longer: then that time counts. Longer rides out bursts, shorter
	// refuses sooner. 0 switches the queue off.
	QueueTime time.Duration

	// LevelWindow is the time between two adjustments of the level. Default 50ms.
	LevelWindow time.Duration

	// FixedLimit switches the adaptation of the limit off.
	FixedLimit bool

	// Unordered serves the queue first-come, first-served, and keeps the level
	// at 0. It exists to be compared against.
	Unordered bool
}

func (c *Config) setDefaults() {
	if c.MinimumLimit == 0 {
		c.MinimumLimit = 2
	}
	if c.MaximumLimit == 0 {
		c.MaximumLimit = 200
	}
	if c.LevelWindow == 0 {
		c.LevelWindow = 50 * time.Millisecond
	}
}

// Request is what a Controller needs to know of a request.
type Request struct {
	// Priority is that of the user request, 0 to MaximumPriority.
	Priority int
	// Deadline is when its answer must be complete, zero for never.
	Deadline time.Time
	// Committed says that other services have worked for the user request
	// already, and that this work is lost if the request is refused. It goes
	// before requests of its class that are not, it is not refused by the level,
	// and it may wait as long as its deadline allows.
	Committed bool
	// Patience is how long it may wait, if that is more than the usual time of the
	// back end and Config.QueueTime. 0: it is not known.
	Patience time.Duration
}

// Ticket is a request that was admitted or waits.
type Ticket struct {
	Request
	asked    time.Time
	expires  time.Time // end of its time in the queue
	sequence uint64
	position int // in the heap, -1 when not queued
	decided  func(Verdict)
}

// Controller admits requests to one back end.
type Controller struct {
	mutex    sync.Mutex
	config   Config
	limit    *Limit
	level    *levelControl
	inFlight int
	fresh    int // in flight and not committed
	queue    ticketHeap
	sequence uint64
	own      float64 // smoothed own time of the back end, seconds
}

// NewController returns a Controller.
func NewController(now time.Time, config Config) *Controller {
	config.setDefaults()
	return &Controller{
		config: config,
		limit:  NewLimit(now, config.MinimumLimit, config.MaximumLimit),
		level:  newLevelControl(now, config.LevelWindow),
	}
}

// SetBounds changes the bounds of the limit and the time in the queue.
func (c *Controller) SetBounds(minimum, maximum int, queueTime time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.config.QueueTime = queueTime
	c.limit.SetBounds(minimum, maximum)
}

// Ask asks for admission. decided is called once with the verdict, either
// before Ask returns or later from Done or Expire; it must not block and must
// not call the Controller. The returned Ticket is passed to Withdraw by a
// caller that stops waiting.
func (c *Controller) Ask(now time.Time, request Request, decided func(Verdict)) *Ticket {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.level.adjust(now, c.room())
	ticket := &Ticket{Request: request, asked: now, position: -1, decided: decided}
	c.level.arrived(request.Priority)
	if verdict := c.screen(now, ticket); verdict != Admitted {
		decided(verdict)
		return ticket
	}
	if c.inFlight < c.limitNow() && len(c.queue.tickets) == 0 {
		c.start(now, ticket)
		return ticket
	}
	c.enqueue(now, ticket)
	return ticket
}

// screen refuses what need not queue.
func (c *Controller) screen(now time.Time, ticket *Ticket) Verdict {
	if !c.config.Unordered && !ticket.Committed && ticket.Priority < c.level.current && !c.hasFreshShare() {
		c.level.refused++
		return BelowLevel
	}
	if c.tooLate(now, ticket) {
		return TooLate
	}
	return Admitted
}

// lateShare is the share of the usual own time that must be left at least.
const lateShare = 0.5

func (c *Controller) tooLate(now time.Time, ticket *Ticket) bool {
	if ticket.Deadline.IsZero() {
		return false
	}
	left := ticket.Deadline.Sub(now).Seconds()
	return left <= 0 || left < lateShare*c.own
}

func (c *Controller) limitNow() int {
	if c.config.FixedLimit {
		return c.config.MaximumLimit
	}
	return c.limit.Current()
}

// room is the share of the limit that is free.
func (c *Controller) room() float64 {
	limit := float64(c.limitNow())
	return max(0, (limit-float64(c.inFlight+len(c.queue.tickets)))/limit)
}

// start admits a request. The mutex is held.
func (c *Controller) start(now time.Time, ticket *Ticket) {
	c.inFlight++
	if !ticket.Committed {
		c.fresh++
	}
	c.limit.Started(c.inFlight)
	c.level.started()
	if now.Sub(ticket.asked) > c.delayTarget() {
		c.level.delayed++
	}
	ticket.decided(Admitted)
}

// delayTarget is the time in the queue from which on the queue is too long: the
// configured one, or the usual time of the back end when that is longer.
func (c *Controller) delayTarget() time.Duration {
	return max(c.config.QueueTime, time.Duration(c.own*float64(time.Second)))
}

// enqueue lets a request wait, and refuses the least important one when the
// queue is full.
func (c *Controller) enqueue(now time.Time, ticket *Ticket) {
	if c.config.QueueTime <= 0 {
		c.level.refused++
		ticket.decided(QueueFull)
		return
	}
	c.sequence++
	ticket.sequence = c.sequence
	ticket.expires = now.Add(c.patience(now, ticket))
	c.queue.unordered = c.config.Unordered
	heap.Push(&c.queue, ticket)
	c.dropExpired(now)
	if len(c.queue.tickets) > c.queueLimit() {
		c.drop(c.victim(), QueueFull)
	}
}

// victim returns the request that a full queue gives up: the last one, unless
// those that are not committed are few already.
func (c *Controller) victim() *Ticket {
	if float64(c.queue.fresh()) <= freshShare*float64(c.queueLimit()) {
		if worst := c.queue.worstCommitted(); worst != nil {
			return worst
		}
	}
	return c.queue.worst()
}

// criticalPatience is how many usual times of the back end a request of the
// highest class may wait. It is served first, so that waiting costs the others
// nothing, and it is refused only when it cannot finish in time.
const criticalPatience = 4

// patience is how long a request may wait: the configured time, or the usual
// time of the back end when that is longer, since places become free at its
// pace.
func (c *Controller) patience(now time.Time, ticket *Ticket) time.Duration {
	if ticket.Committed && !ticket.Deadline.IsZero() && !c.config.Unordered {
		return ticket.Deadline.Sub(now)
	}
	usual := time.Duration(c.own * float64(time.Second))
	if ClassOf(ticket.Priority) == classes-1 && !c.config.Unordered {
		usual *= criticalPatience
	}
	return max(c.config.QueueTime, usual, ticket.Patience)
}

// queueLimit bounds the queue by the number in flight: more cannot be served
// within a few service times.
func (c *Controller) queueLimit() int { return 2*c.limitNow() + 1 }

func (c *Controller) drop(ticket *Ticket, verdict Verdict) {
	heap.Remove(&c.queue, ticket.position)
	c.level.refused++
	ticket.decided(verdict)
}

func (c *Controller) dropExpired(now time.Time) {
	for i := len(c.queue.tickets) - 1; i >= 0; i-- {
		ticket := c.queue.tickets[i]
		switch {
		case !now.Before(ticket.expires):
			c.drop(ticket, QueueFull)
		case c.tooLate(now, ticket):
			c.drop(ticket, TooLate)
		}
	}
}

// Withdraw takes back a request whose caller stopped waiting. It reports true
// when the request was still queued; decided is then never called.
func (c *Controller) Withdraw(ticket *Ticket) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if ticket.position < 0 {
		return false
	}
	heap.Remove(&c.queue, ticket.position)
	return true
}

// Outcome is how an admitted request ended.
type Outcome struct {
	// Own is the time that the back end itself took.
	Own time.Duration
	// Refused says that the back end refused the request as overloaded.
	Refused bool
	// Counted is false when the time says nothing, for example after a broken
	// connection.
	Counted bool
}

// Done ends a request that was admitted.
func (c *Controller) Done(now time.Time, ticket *Ticket, outcome Outcome) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.inFlight--
	if !ticket.Committed {
		c.fresh--
	}
	if outcome.Counted {
		c.limit.Finished(now, outcome.Own, outcome.Refused)
		c.learnOwn(outcome.Own, outcome.Refused)
	}
	c.dispatch(now)
	c.level.adjust(now, c.room())
}

const ownSmoothing = 0.05

func (c *Controller) learnOwn(own time.Duration, refused bool) {
	if refused {
		return
	}
	c.own += ownSmoothing * (own.Seconds() - c.own)
}

// dispatch starts queued requests while there is room.
func (c *Controller) dispatch(now time.Time) {
	c.dropExpired(now)
	for c.inFlight < c.limitNow() && len(c.queue.tickets) > 0 {
		next := c.next()
		heap.Remove(&c.queue, next.position)
		c.start(now, next)
	}
}

// freshShare is the share of the limit that requests get which are not
// committed, while they wait, before committed ones of their class. Without it,
// a back end that serves both would serve the committed only.
const freshShare = 0.2

// hasFreshShare reports whether there is room in the share of those that are not
// committed, beside committed requests that take up the rest.
func (c *Controller) hasFreshShare() bool {
	limit := c.limitNow()
	if limit == 1 || c.fresh == c.inFlight {
		return false
	}
	return float64(c.fresh+1) <= max(freshShare*float64(limit), 1)
}

// next returns the waiting request to start.
func (c *Controller) next() *Ticket {
	first := c.queue.tickets[0]
	if !first.Committed || !c.hasFreshShare() {
		return first
	}
	if best := c.queue.bestFresh(); best != nil && ClassOf(best.Priority) >= ClassOf(first.Priority) {
		return best
	}
	return first
}

// Expire refuses queued requests whose time has passed. Call it every few
// milliseconds while Waiting is not 0.
func (c *Controller) Expire(now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.dropExpired(now)
	c.level.adjust(now, c.room())
}

// State is a snapshot of a Controller.
type State struct {
	Limit    int
	InFlight int
	Waiting  int
	Level    int
}

// State returns a snapshot.
func (c *Controller) State(now time.Time) State {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.level.adjust(now, c.room())
	return State{Limit: c.limitNow(), InFlight: c.inFlight, Waiting: len(c.queue.tickets), Level: c.level.current}
}
