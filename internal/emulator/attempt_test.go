package emulator

import (
	"time"

	"github.com/loomcleat/loomcleat/balance"
)

// attempt is one attempt of a call.
type attempt struct {
	w       *world
	from    caller
	service string
	path    string // by which levels are told apart
	target  *backend
	started time.Time
	work    *work
	ended   bool
	done    func(reply)
}

// attempt makes one attempt of the call to the i-th service of the chain.
func (w *world) attempt(from caller, r *request, i int, loan int, tried *[]string, done func(reply)) {
	service := w.mesh.services[i].name
	path := w.mesh.kinds[r.kind].class.String() + " " + service
	target, refusal := w.choose(from, r, service, path, tried)
	if target == nil {
		refusal.unspent = loan
		done(refusal)
		return
	}
	a := &attempt{w: w, from: from, service: service, path: path, target: target, started: w.Now(), work: &work{}, done: done}
	w.After(a.patience(r), a.giveUp)
	delay := delayBetween(from.zone, target.zone)
	w.After(delay, func() {
		w.serve(target, r, i, loan, a.work, func(got reply) {
			w.After(delay, func() { a.end(got, balance.Answered) })
		})
	})
}

// choose picks a back end. It returns nil when the call is refused early.
func (w *world) choose(from caller, r *request, service, path string, tried *[]string) (*backend, reply) {
	b := w.balancer(from, service)
	if level := b.Level(w.Now(), path); r.priority < level {
		return nil, reply{refused: true, final: true, level: level}
	}
	target, found := b.Pick(w.Now(), balance.Need{Path: path, Priority: r.priority, Exclude: *tried})
	if !found { // all were tried: begin again
		*tried = nil
		target, found = b.Pick(w.Now(), balance.Need{Path: path, Priority: r.priority})
	}
	if !found {
		return nil, reply{refused: true, final: true}
	}
	*tried = append(*tried, target.ID)
	for _, candidate := range w.backends[service] {
		if candidate.id == target.ID {
			return candidate, reply{}
		}
	}
	return nil, reply{refused: true}
}

const (
	// An attempt of a request that may be repeated is given up after so many usual
	// times of its back end, but not before the least time.
	attemptLatencies = 8
	leastAttemptTime = 500 * time.Millisecond
)

// patience returns the time after which the attempt is given up.
func (a *attempt) patience(r *request) time.Duration {
	left := r.deadline.Sub(a.started)
	if !a.w.mesh.kinds[r.kind].repeatable {
		return left
	}
	usual := a.w.balancer(a.from, a.service).Latency(a.target.id)
	return min(left, max(attemptLatencies*usual, leastAttemptTime))
}

func (a *attempt) giveUp() {
	if !a.ended {
		a.work.cancelled = true
		a.end(reply{}, balance.Failed)
	}
}

// end tells the balancer of the outcome, and the caller of the answer.
func (a *attempt) end(got reply, outcome balance.Outcome) {
	if a.ended {
		return
	}
	a.ended = true
	now := a.w.Now()
	b := a.w.balancer(a.from, a.service)
	b.Done(now, a.target.id, now.Sub(a.started), outcome)
	if outcome == balance.Answered {
		b.SetLevel(now, a.target.id, a.path, got.level)
		got.level = b.Level(now, a.path)
	}
	a.done(got)
}

func delayBetween(a, b int) time.Duration {
	if a == b {
		return localDelay
	}
	return zoneDelay
}
