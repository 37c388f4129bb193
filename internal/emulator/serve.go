package emulator

import (
	"time"

	"github.com/loomcleat/loomcleat/admission"
	"github.com/loomcleat/loomcleat/policy"
	"github.com/loomcleat/loomcleat/retrybudget"
)

// serve plays a request that has arrived at the node of a back end.
func (w *world) serve(b *backend, r *request, i int, loan int, item *work, done func(reply)) {
	account := retrybudget.Open(loan)
	level := func() int {
		if b.controller == nil || !w.arm.ordered {
			return 0
		}
		return b.controller.State(w.Now()).Level
	}
	if b.controller == nil {
		w.enter(b, r, i, account, item, func(got reply, _ time.Duration) { done(got) })
		return
	}
	request := admission.Request{Priority: r.priority, Deadline: r.deadline, Committed: i > 0}
	var ticket *admission.Ticket
	ticket = b.controller.Ask(w.Now(), request, func(verdict admission.Verdict) {
		// The controller must not be called from here.
		w.After(0, func() {
			if verdict != admission.Admitted {
				done(reply{refused: true, final: verdict == admission.TooLate, unspent: account.Close(), level: level()})
				return
			}
			w.enter(b, r, i, account, item, func(got reply, own time.Duration) {
				b.controller.Done(w.Now(), ticket, admission.Outcome{Own: own, Refused: got.refused, Counted: !item.cancelled})
				got.level = max(got.level, level())
				got.unspent = account.Close()
				got.refused = false // it ran
				done(got)
			})
		})
	})
	w.After(policy.DefaultQueueTime, func() { b.controller.Expire(w.Now()) })
}

// enter plays a request inside a back end: a connection, a slot or the queue for
// one, the own work, then the call to the next service, for which the slot is
// given back but the connection is kept. ended gets the time that the back end
// itself took.
func (w *world) enter(b *backend, r *request, i int, account *retrybudget.Account, item *work, ended func(reply, time.Duration)) {
	if b.connections >= b.service.Slots+b.service.Queue {
		ended(reply{refused: true}, 0) // it sheds
		return
	}
	b.connections++
	arrived := w.Now()
	finish := func(got reply, own time.Duration) {
		b.connections--
		ended(got, own)
	}
	item.run = func() {
		if item.cancelled || b.gone {
			w.release(b)
			finish(reply{}, w.Now().Sub(arrived))
			return
		}
		w.work(b, r, func() {
			w.release(b)
			w.goOn(b, r, i, account, w.Now().Sub(arrived), finish)
		})
	}
	if b.busy < b.service.Slots {
		b.busy++
		item.run()
		return
	}
	b.waiting = append(b.waiting, item)
}

// work takes the own time of a request. Half of it is fixed.
func (w *world) work(b *backend, r *request, done func()) {
	duration := time.Duration(float64(w.exponential(b.service.Work)/2+b.service.Work/2) * b.slow)
	w.After(duration, func() {
		if b.frozen {
			return // nothing comes out of it any more
		}
		r.used += duration
		done()
	})
}

// goOn ends a request at the last service, or calls the next one.
func (w *world) goOn(b *backend, r *request, i int, account *retrybudget.Account, own time.Duration, finish func(reply, time.Duration)) {
	if i == len(w.mesh.Kinds[r.kind].Chain)-1 {
		finish(reply{ok: true}, own)
		return
	}
	w.call(hop{b.id, b.zone}, r, i+1, account, func(got reply) {
		finish(reply{ok: got.ok, level: got.level}, own)
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
