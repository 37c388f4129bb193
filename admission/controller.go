package admission

import (
	"container/heap"
	"sync"
	"time"

	"github.com/loomcleat/loomcleat/ratelimit"
)

// Verdict is the result of an admission decision.
type Verdict int

// Verdicts.
const (
	Admitted Verdict = iota
	// BelowLevel: the priority is below the admission level.
	BelowLevel
	// QueueFull: no slot became free in time, or the queue has no position left.
	QueueFull
	// TooLate: the request cannot finish before its deadline.
	TooLate
	// RateLimited: the rate limit that the back end declared leaves no room in time.
	RateLimited
)

// Config configures a Controller.
type Config struct {
	// MinimumLimit and MaximumLimit bound the requests in flight. A minimum
	// that is too low starves a slow back end, a maximum that is too high
	// lets requests queue inside the back end. Defaults 2 and 200.
	MinimumLimit int
	MaximumLimit int

	// QueueTime is the maximum time in the queue. A back end that usually takes
	// longer than that raises it to its usual time. Longer rides out bursts, shorter
	// refuses sooner. 0 disables the queue.
	QueueTime time.Duration

	// RateLimit is the rate limit of the back end. Every admitted request takes one from it.
	// Nil: there is none.
	RateLimit *ratelimit.Limiter
}

func (c *Config) setDefaults() {
	if c.RateLimit == nil {
		c.RateLimit = &ratelimit.Limiter{}
	}
	if c.MinimumLimit == 0 {
		c.MinimumLimit = 2
	}
	if c.MaximumLimit == 0 {
		c.MaximumLimit = 200
	}
}

// Request describes a request that asks for admission.
type Request struct {
	// Priority of the user request, 0 to MaximumPriority.
	Priority int
	// Deadline is when the answer must be complete, zero for none.
	Deadline time.Time
	// HasUpstreamWork reports that the request has upstream work: other services have
	// already done work for the user request, which is wasted if this request is
	// refused. It goes before requests of its class without upstream work, is not
	// refused by the level, and may wait until its deadline.
	HasUpstreamWork bool
	// MaximumQueueTime is the request's own maximum queue time, 0 if unknown. It has an effect
	// only when it exceeds Config.QueueTime and the usual time of the back end.
	MaximumQueueTime time.Duration
}

// Ticket identifies a request that asked for admission.
type Ticket struct {
	Request
	arrivedAt time.Time
	// End of the maximum queue time.
	expires time.Time
	// Order of entry into the queue.
	sequence uint64
	// Index in the queue, or notQueued.
	position int
	// A slot was free when the request was queued, so that it waits for the rate limit.
	awaitsRate bool
	notify     func(Verdict)
}

// Controller admits requests to one back end. It combines the limit, the queue, the
// level, the reserved share, the maximum queue times and the back end's rate limit.
type Controller struct {
	mutex      sync.Mutex
	limit      *Limit
	level      *levelControl
	inFlight   inFlight
	queueTimes queueTimes
	queue      ticketQueue
	rateLimit  *ratelimit.Limiter
	// Sequence number of the last request that was queued.
	sequence uint64
}

// NewController returns a Controller without requests.
func NewController(now time.Time, config Config) *Controller {
	config.setDefaults()
	return &Controller{
		limit:      NewLimit(now, config.MinimumLimit, config.MaximumLimit),
		level:      newLevelControl(now),
		queueTimes: queueTimes{queueTime: config.QueueTime},
		rateLimit:  config.RateLimit,
	}
}

// SetBounds changes the bounds of the limit and the maximum time in the queue.
func (c *Controller) SetBounds(minimum, maximum int, queueTime time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.queueTimes.queueTime = queueTime
	c.limit.SetBounds(minimum, maximum)
}

// Submit requests admission. notify is called at most once with the verdict, either before
// Submit returns or later from Submit, Done or Advance. It must not block and must not call the
// Controller. A caller that stops waiting passes the returned Ticket to Withdraw.
func (c *Controller) Submit(now time.Time, request Request, notify func(Verdict)) *Ticket {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.level.adjust(now, c.freeShare())
	ticket := &Ticket{Request: request, arrivedAt: now, position: notQueued, notify: notify}
	c.level.arrived(request.Priority)
	if _, limited := c.rateLimit.Limit(); limited {
		c.dispatch(now) // time alone makes room in the rate limit
	}
	if verdict := c.checkOnArrival(now, ticket); verdict != Admitted {
		notify(verdict)
		return ticket
	}
	if c.slotFree() && c.queue.Len() == 0 && c.rateLimit.Take(now) {
		c.start(now, ticket)
		return ticket
	}
	c.enqueue(now, ticket)
	return ticket
}

// checkOnArrival returns the verdict on a request that is refused without queueing, and
// Admitted for all others.
func (c *Controller) checkOnArrival(now time.Time, ticket *Ticket) Verdict {
	if !ticket.HasUpstreamWork && c.level.refuses(ticket.Priority) && !c.reservedSlotFree() {
		c.level.refused++
		return BelowLevel
	}
	if c.queueTimes.tooLate(now, &ticket.Request) {
		return TooLate
	}
	return Admitted
}

func (c *Controller) slotFree() bool { return c.inFlight.total < c.limit.Current() }

func (c *Controller) reservedSlotFree() bool {
	return c.inFlight.hasReservedSlot(c.limit.Current())
}

// freeShare returns the free share of the limit, 0 to 1. Queued requests count as in
// flight.
func (c *Controller) freeShare() float64 {
	limit := float64(c.limit.Current())
	return max(0, (limit-float64(c.inFlight.total+c.queue.Len()))/limit)
}

// start admits a request. The caller holds the mutex.
func (c *Controller) start(now time.Time, ticket *Ticket) {
	c.inFlight.start(&ticket.Request)
	c.limit.Started(c.inFlight.total)
	c.level.started()
	if now.Sub(ticket.arrivedAt) > c.queueTimes.delayTarget() {
		c.level.delayed++
	}
	ticket.notify(Admitted)
}

// enqueue adds a request to the queue. When the queue is too long, it refuses the
// request that victim selects.
func (c *Controller) enqueue(now time.Time, ticket *Ticket) {
	ticket.awaitsRate = c.limitedByRate()
	if c.queueTimes.queueTime <= 0 {
		c.level.refused++
		ticket.notify(c.noRoom())
		return
	}
	c.sequence++
	ticket.sequence = c.sequence
	ticket.expires = c.queueTimes.expiry(now, &ticket.Request)
	heap.Push(&c.queue, ticket)
	c.dropExpired(now)
	if limit := c.queueLimit(); c.queue.Len() > limit {
		c.drop(c.queue.victim(limit), c.noRoom())
	}
}

// queueLimit returns the maximum length of the queue. It is tied to the limit on requests in
// flight and to the rate limit, so that the queue drains within a few service times.
func (c *Controller) queueLimit() int {
	limit := 2*c.limit.Current() + 1
	if rate, limited := c.rateLimit.Limit(); limited {
		return min(limit, max(int(float64(rate)*c.queueTimes.delayTarget().Seconds()), 1))
	}
	return limit
}

func (c *Controller) drop(ticket *Ticket, verdict Verdict) {
	heap.Remove(&c.queue, ticket.position)
	c.level.refused++
	ticket.notify(verdict)
}

func (c *Controller) dropExpired(now time.Time) {
	for i := c.queue.Len() - 1; i >= 0; i-- {
		ticket := c.queue.tickets[i]
		switch {
		case !now.Before(ticket.expires):
			c.drop(ticket, c.noRoom())
		case c.queueTimes.tooLate(now, &ticket.Request):
			c.drop(ticket, TooLate)
		}
	}
}

// Withdraw removes a request from the queue when its caller stops waiting. It reports
// whether the request was still queued; if so, notify is never called.
func (c *Controller) Withdraw(ticket *Ticket) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if ticket.position == notQueued {
		return false
	}
	heap.Remove(&c.queue, ticket.position)
	return true
}

// Outcome describes how an admitted request ended.
type Outcome struct {
	// OwnTime is the back end's own time, without the time spent waiting for its calls to
	// other services.
	OwnTime time.Duration
	// Refused reports that the back end refused the request as overloaded.
	Refused bool
	// Counted is false when OwnTime is meaningless, for example after a broken connection.
	Counted bool
}

// Done frees the slot of an admitted request and starts queued requests.
func (c *Controller) Done(now time.Time, ticket *Ticket, outcome Outcome) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.inFlight.end(&ticket.Request)
	if outcome.Counted {
		c.limit.Finished(now, outcome.OwnTime, outcome.Refused)
	}
	if outcome.Counted && !outcome.Refused {
		c.queueTimes.observe(outcome.OwnTime)
	}
	c.dispatch(now)
	c.level.adjust(now, c.freeShare())
}

// dispatch starts queued requests while slots are free and the rate limit has room.
func (c *Controller) dispatch(now time.Time) {
	c.dropExpired(now)
	for c.queue.Len() > 0 && c.slotFree() && c.rateLimit.Take(now) {
		next := c.queue.next(c.reservedSlotFree())
		heap.Remove(&c.queue, next.position)
		c.start(now, next)
	}
}

// Advance refuses queued requests that have waited too long or can no longer meet their
// deadline, and starts those for which the rate limit has room. Call it every few milliseconds
// while State.Waiting is not 0, and after RateWait.
func (c *Controller) Advance(now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.dispatch(now)
	c.level.adjust(now, c.freeShare())
}

// State is a snapshot of a Controller.
type State struct {
	// Limit on requests in flight.
	Limit    int
	InFlight int
	// Waiting is the number of queued requests.
	Waiting int
	// Level is the priority below which requests are refused.
	Level int
}

// State returns a snapshot.
func (c *Controller) State(now time.Time) State {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.level.adjust(now, c.freeShare())
	return State{Limit: c.limit.Current(), InFlight: c.inFlight.total, Waiting: c.queue.Len(), Level: c.level.current}
}
