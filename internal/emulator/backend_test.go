package emulator

import (
	"fmt"
	"time"

	"github.com/loomcleat/loomcleat/admission"
	"github.com/loomcleat/loomcleat/policy"
	"github.com/loomcleat/loomcleat/retrybudget"
)

// backend models one back end with its node.
type backend struct {
	id          string
	service     *service
	zone        int
	controller  *admission.Controller
	busySlots   int
	waiting     []*job
	connections int
	slowdown    float64 // factor on the service's own work
}

// job is one request at a back end.
type job struct {
	run       func()
	cancelled bool
}

func newBackend(now time.Time, of *service, number int) *backend {
	return &backend{
		id:       fmt.Sprintf("%s-%d", of.name, number),
		service:  of,
		zone:     number % zones,
		slowdown: 1,
		controller: admission.NewController(now, admission.Config{
			MaximumLimit: policy.DefaultConcurrencyMax, // as in the daemon, the controller does not know the number of slots
			QueueTime:    policy.DefaultQueueTime,
		}),
	}
}

// serve simulates the node of a back end: it admits, queues or refuses a request.
func (c *cluster) serve(b *backend, r *request, i int, allowance int, item *job, done func(reply)) {
	account := retrybudget.Open(allowance)
	level := func() int { return b.controller.State(c.Now()).Level }
	admissionRequest := admission.Request{Priority: r.priority, Deadline: r.deadline, HasUpstreamWork: i > 0}
	var ticket *admission.Ticket
	onEnd := func(response reply, ownTime time.Duration) {
		b.controller.Done(c.Now(), ticket, admission.Outcome{OwnTime: ownTime, Refused: response.refused, Counted: !item.cancelled})
		response.level = max(response.level, level())
		response.unused = account.Close()
		response.refused = false // the request was admitted, so it counts as run
		done(response)
	}
	ticket = b.controller.Submit(c.Now(), admissionRequest, func(verdict admission.Verdict) {
		c.After(0, func() { // the controller must not be called from its callback
			if verdict != admission.Admitted {
				done(reply{refused: true, final: verdict == admission.TooLate, unused: account.Close(), level: level()})
				return
			}
			c.execute(b, r, i, account, item, onEnd)
		})
	})
	c.After(policy.DefaultQueueTime, func() { b.controller.Advance(c.Now()) })
}

// execute simulates a request inside a back end: it takes a connection, waits for a slot,
// does the own work, releases the slot and calls the next service. The connection is held
// until the end. onEnd receives the reply and the time that the back end itself took.
func (c *cluster) execute(b *backend, r *request, i int, account *retrybudget.Account, item *job, onEnd func(reply, time.Duration)) {
	if b.connections >= b.service.slots+b.service.queue {
		onEnd(reply{refused: true}, 0)
		return
	}
	b.connections++
	arrived := c.Now()
	respond := func(response reply, ownTime time.Duration) {
		b.connections--
		onEnd(response, ownTime)
	}
	item.run = func() {
		if item.cancelled {
			c.release(b)
			respond(reply{}, c.Now().Sub(arrived))
			return
		}
		c.runWork(b, r, func() {
			c.release(b)
			c.callNext(b, r, i, account, c.Now().Sub(arrived), respond)
		})
	}
	if b.busySlots < b.service.slots {
		b.busySlots++
		item.run()
		return
	}
	b.waiting = append(b.waiting, item)
}

// runWork simulates the own work of a request. Half of the mean duration is constant, the
// other half exponentially distributed.
func (c *cluster) runWork(b *backend, r *request, done func()) {
	duration := time.Duration(float64(c.exponential(b.service.work)/2+b.service.work/2) * b.slowdown)
	c.After(duration, func() {
		r.slotTime += duration
		done()
	})
}

// callNext calls the next service, or responds if this is the last one.
func (c *cluster) callNext(b *backend, r *request, i int, account *retrybudget.Account, ownTime time.Duration, respond func(reply, time.Duration)) {
	if i == len(c.mesh.services)-1 {
		respond(reply{ok: true}, ownTime)
		return
	}
	c.call(caller{b.id, b.zone}, r, i+1, account, func(response reply) {
		respond(reply{ok: response.ok, level: response.level}, ownTime)
	})
}

// release passes the slot to the next waiting request, or frees it if none waits.
func (c *cluster) release(b *backend) {
	if len(b.waiting) == 0 {
		b.busySlots--
		return
	}
	next := b.waiting[0]
	b.waiting = b.waiting[1:]
	c.After(0, next.run)
}
