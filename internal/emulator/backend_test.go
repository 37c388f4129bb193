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
	busy        int // slots
	waiting     []*work
	connections int
	slow        float64 // factor of the work
}

// work is one request at a back end.
type work struct {
	run       func()
	cancelled bool
}

func newBackend(now time.Time, of *service, number int) *backend {
	return &backend{
		id:      fmt.Sprintf("%s-%d", of.name, number),
		service: of,
		zone:    number % zones,
		slow:    1,
		controller: admission.NewController(now, admission.Config{
			MaximumLimit: policy.DefaultConcurrencyMax, // it does not know the slots
			QueueTime:    policy.DefaultQueueTime,
		}),
	}
}

// serve plays a request that has arrived at the node of a back end.
func (w *world) serve(b *backend, r *request, i int, loan int, item *work, done func(reply)) {
	account := retrybudget.Open(loan)
	level := func() int { return b.controller.State(w.Now()).Level }
	asked := admission.Request{Priority: r.priority, Deadline: r.deadline, Committed: i > 0}
	var ticket *admission.Ticket
	ended := func(got reply, own time.Duration) {
		b.controller.Done(w.Now(), ticket, admission.Outcome{Own: own, Refused: got.refused, Counted: !item.cancelled})
		got.level = max(got.level, level())
		got.unspent = account.Close()
		got.refused = false // it ran
		done(got)
	}
	ticket = b.controller.Ask(w.Now(), asked, func(verdict admission.Verdict) {
		w.After(0, func() { // the controller must not be called from its callback
			if verdict != admission.Admitted {
				done(reply{refused: true, final: verdict == admission.TooLate, unspent: account.Close(), level: level()})
				return
			}
			w.enter(b, r, i, account, item, ended)
		})
	})
	w.After(policy.DefaultQueueTime, func() { b.controller.Expire(w.Now()) })
}

// enter plays a request inside a back end: a connection, a slot or the queue for
// one, the own work, then the call to the next service, for which the slot is
// given back but the connection is kept. ended gets the time that the back end
// itself took.
func (w *world) enter(b *backend, r *request, i int, account *retrybudget.Account, item *work, ended func(reply, time.Duration)) {
	if b.connections >= b.service.slots+b.service.queue {
		ended(reply{refused: true}, 0) // it sheds
		return
	}
	b.connections++
	arrived := w.Now()
	leave := func(got reply, own time.Duration) {
		b.connections--
		ended(got, own)
	}
	item.run = func() {
		if item.cancelled {
			w.release(b)
			leave(reply{}, w.Now().Sub(arrived))
			return
		}
		w.work(b, r, func() {
			w.release(b)
			w.callNext(b, r, i, account, w.Now().Sub(arrived), leave)
		})
	}
	if b.busy < b.service.slots {
		b.busy++
		item.run()
		return
	}
	b.waiting = append(b.waiting, item)
}

// work takes the own time of a request. Half of it is fixed.
func (w *world) work(b *backend, r *request, done func()) {
	duration := time.Duration(float64(w.exponential(b.service.work)/2+b.service.work/2) * b.slow)
	w.After(duration, func() {
		r.used += duration
		done()
	})
}

// callNext calls the next service, or ends a request at the last one.
func (w *world) callNext(b *backend, r *request, i int, account *retrybudget.Account, own time.Duration, leave func(reply, time.Duration)) {
	if i == len(w.mesh.services)-1 {
		leave(reply{ok: true}, own)
		return
	}
	w.call(caller{b.id, b.zone}, r, i+1, account, func(got reply) {
		leave(reply{ok: got.ok, level: got.level}, own)
	})
}

// release gives a slot to the next request that waits.
func (w *world) release(b *backend) {
	if len(b.waiting) == 0 {
		b.busy--
		return
	}
	next := b.waiting[0]
	b.waiting = b.waiting[1:]
	w.After(0, next.run)
}
