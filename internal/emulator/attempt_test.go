package emulator

import (
	"time"

	"github.com/loomcleat/loomcleat/balance"
)

// attempt is one attempt of a call: one request sent to one back end.
type attempt struct {
	c       *cluster
	from    caller
	service string
	// Key of the level: class and service.
	path    string
	target  *backend
	started time.Time
	job     *job
	ended   bool
	done    func(reply)
}

// attempt makes one attempt of the call to the i-th service of the chain. allowance is the
// number of retries that are delegated to the back end.
func (c *cluster) attempt(from caller, r *request, i int, allowance int, tried *[]string, done func(reply)) {
	service := c.mesh.services[i].name
	path := c.mesh.kinds[r.kind].class.String() + " " + service
	target, refusal := c.choose(from, r, service, path, tried)
	if target == nil {
		refusal.unused = allowance
		done(refusal)
		return
	}
	a := &attempt{c: c, from: from, service: service, path: path, target: target, started: c.Now(), job: &job{}, done: done}
	c.After(a.timeout(r), a.giveUp)
	delay := delayBetween(from.zone, target.zone)
	c.After(delay, func() {
		c.serve(target, r, i, allowance, a.job, func(response reply) {
			c.After(delay, func() { a.end(response, balance.Answered) })
		})
	})
}

// choose picks a back end for the call, preferring those not yet tried. It returns nil and
// the refusal if the priority is below the level or no back end is available.
func (c *cluster) choose(from caller, r *request, service, path string, tried *[]string) (*backend, reply) {
	b := c.balancer(from, service)
	if level := b.Level(c.Now(), path); r.priority < level {
		return nil, reply{refused: true, final: true, level: level}
	}
	target, found := b.Pick(c.Now(), balance.Requirements{Path: path, Priority: r.priority, Exclude: *tried})
	if !found { // all were tried: allow all of them again
		*tried = nil
		target, found = b.Pick(c.Now(), balance.Requirements{Path: path, Priority: r.priority})
	}
	if !found {
		return nil, reply{refused: true, final: true}
	}
	*tried = append(*tried, target.ID)
	for _, candidate := range c.backends[service] {
		if candidate.id == target.ID {
			return candidate, reply{}
		}
	}
	return nil, reply{refused: true}
}

const (
	// An attempt of a repeatable request times out after attemptLatencies times the
	// typical latency of its back end, but not before minimumAttemptTime.
	attemptLatencies   = 8
	minimumAttemptTime = 500 * time.Millisecond
)

// timeout returns the time after which the attempt is abandoned: the time left to the
// deadline, or less if the request is repeatable.
func (a *attempt) timeout(r *request) time.Duration {
	left := r.deadline.Sub(a.started)
	if !a.c.mesh.kinds[r.kind].repeatable {
		return left
	}
	typical := a.c.balancer(a.from, a.service).Latency(a.target.id)
	return min(left, max(attemptLatencies*typical, minimumAttemptTime))
}

func (a *attempt) giveUp() {
	if !a.ended {
		a.job.cancelled = true
		a.end(reply{}, balance.Failed)
	}
}

// end reports the outcome to the balancer and the reply to the caller. Later calls do
// nothing.
func (a *attempt) end(response reply, outcome balance.Outcome) {
	if a.ended {
		return
	}
	a.ended = true
	now := a.c.Now()
	b := a.c.balancer(a.from, a.service)
	b.Done(now, a.target.id, now.Sub(a.started), outcome)
	if outcome == balance.Answered {
		b.SetLevel(now, a.target.id, a.path, response.level)
		response.level = b.Level(now, a.path)
	}
	a.done(response)
}

func delayBetween(a, b int) time.Duration {
	if a == b {
		return localDelay
	}
	return zoneDelay
}
