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
}

func (c *Config) setDefaults() {
	if c.MinimumLimit == 0 {
		c.MinimumLimit = 2
	}
	if c.MaximumLimit == 0 {
		c.MaximumLimit = 200
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
	position int // in the queue, or notQueued
	decided  func(Verdict)
}

// Controller admits requests to one back end. It joins the limit, the queue, the level,
// the share of the uncommitted and the patience of requests, each of which decides by
// itself.
type Controller struct {
	mutex    sync.Mutex
	limit    *Limit
	level    *levelControl
	inFlight inFlight
	patience patience
	queue    ticketQueue
	sequence uint64 // of the latest request that was queued
}

// NewController returns a Controller.
func NewController(now time.Time, config Config) *Controller {
	config.setDefaults()
	return &Controller{
		limit:    NewLimit(now, config.MinimumLimit, config.MaximumLimit),
		level:    newLevelControl(now),
		patience: patience{queueTime: config.QueueTime},
	}
}

// SetBounds changes the bounds of the limit and the time in the queue.
func (c *Controller) SetBounds(minimum, maximum int, queueTime time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.patience.queueTime = queueTime
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
	ticket := &Ticket{Request: request, asked: now, position: notQueued, decided: decided}
	c.level.arrived(request.Priority)
	if verdict := c.screen(now, ticket); verdict != Admitted {
		decided(verdict)
		return ticket
	}
	if c.inFlight.all < c.limit.Current() && c.queue.Len() == 0 {
		c.start(now, ticket)
		return ticket
	}
	c.enqueue(now, ticket)
	return ticket
}

// screen refuses what need not queue.
func (c *Controller) screen(now time.Time, ticket *Ticket) Verdict {
	if !ticket.Committed && c.level.refuses(ticket.Priority) && !c.uncommittedRoom() {
		c.level.refused++
		return BelowLevel
	}
	if c.patience.tooLate(now, &ticket.Request) {
		return TooLate
	}
	return Admitted
}

func (c *Controller) uncommittedRoom() bool {
	return c.inFlight.hasUncommittedShare(c.limit.Current())
}

// room is the share of the limit that is free.
func (c *Controller) room() float64 {
	limit := float64(c.limit.Current())
	return max(0, (limit-float64(c.inFlight.all+c.queue.Len()))/limit)
}

// start admits a request. The mutex is held.
func (c *Controller) start(now time.Time, ticket *Ticket) {
	c.inFlight.start(&ticket.Request)
	c.limit.Started(c.inFlight.all)
	c.level.started()
	if now.Sub(ticket.asked) > c.patience.delayTarget() {
		c.level.delayed++
	}
	ticket.decided(Admitted)
}

// enqueue lets a request wait, and refuses the least important one when the
// queue is full.
func (c *Controller) enqueue(now time.Time, ticket *Ticket) {
	if c.patience.queueTime <= 0 {
		c.level.refused++
		ticket.decided(QueueFull)
		return
	}
	c.sequence++
	ticket.sequence = c.sequence
	ticket.expires = c.patience.expiry(now, &ticket.Request)
	heap.Push(&c.queue, ticket)
	c.dropExpired(now)
	if limit := c.queueLimit(); c.queue.Len() > limit {
		c.drop(c.queue.victim(limit), QueueFull)
	}
}

// queueLimit bounds the queue by the number in flight: more cannot be served
// within a few service times.
func (c *Controller) queueLimit() int { return 2*c.limit.Current() + 1 }

func (c *Controller) drop(ticket *Ticket, verdict Verdict) {
	heap.Remove(&c.queue, ticket.position)
	c.level.refused++
	ticket.decided(verdict)
}

func (c *Controller) dropExpired(now time.Time) {
	for i := c.queue.Len() - 1; i >= 0; i-- {
		ticket := c.queue.tickets[i]
		switch {
		case !now.Before(ticket.expires):
			c.drop(ticket, QueueFull)
		case c.patience.tooLate(now, &ticket.Request):
			c.drop(ticket, TooLate)
		}
	}
}

// Withdraw takes back a request whose caller stopped waiting. It reports true
// when the request was still queued; decided is then never called.
func (c *Controller) Withdraw(ticket *Ticket) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if ticket.position == notQueued {
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
	c.inFlight.end(&ticket.Request)
	if outcome.Counted {
		c.limit.Finished(now, outcome.Own, outcome.Refused)
	}
	if outcome.Counted && !outcome.Refused {
		c.patience.learn(outcome.Own)
	}
	c.dispatch(now)
	c.level.adjust(now, c.room())
}

// dispatch starts queued requests while there is room.
func (c *Controller) dispatch(now time.Time) {
	c.dropExpired(now)
	for c.inFlight.all < c.limit.Current() && c.queue.Len() > 0 {
		next := c.queue.next(c.uncommittedRoom())
		heap.Remove(&c.queue, next.position)
		c.start(now, next)
	}
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
	Limit    int // of requests in flight
	InFlight int
	Waiting  int
	Level    int // priorities below it are refused
}

// State returns a snapshot.
func (c *Controller) State(now time.Time) State {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.level.adjust(now, c.room())
	return State{Limit: c.limit.Current(), InFlight: c.inFlight.all, Waiting: c.queue.Len(), Level: c.level.current}
}
