package emulator

import (
	"fmt"
	"strconv"
	"time"

	"github.com/loomcleat/loomcleat/admission"
	"github.com/loomcleat/loomcleat/balance"
	"github.com/loomcleat/loomcleat/policy"
	"github.com/loomcleat/loomcleat/retrybudget"
)

// backend models one back end with its node.
type backend struct {
	id          string
	service     *Service
	zone        int
	controller  *admission.Controller
	busy        int
	waiting     []*work
	connections int
	slow        float64 // factor of the work
	frozen      bool
	gone        bool
}

// work is one request at a back end.
type work struct {
	run       func()
	cancelled bool
}

// world is a mesh under load.
type world struct {
	*engine
	mesh      Mesh
	arm       Arm
	backends  map[string][]*backend
	doors     []*door
	balancers map[string]*balance.Balancer // of backends' nodes and doors, by caller and service
	ratios    map[string]*retrybudget.Ratio
	turns     map[string]int
	requests  uint64
	retries   int
	outcomes  []outcome
	useful    time.Duration // work for requests that completed
	wasted    time.Duration // work for others
	capacity  float64
	slowed    map[string]float64
}

// door is a gateway.
type door struct {
	id   string
	zone int
}

// outcome is how one user request ended.
type outcome struct {
	sent      time.Duration
	ended     time.Duration
	kind      int
	completed bool
	first     bool // not a repetition by the caller
}

const doors = 2

func newWorld(mesh Mesh, arm Arm, seed uint64) *world {
	w := &world{
		engine:    newEngine(seed),
		mesh:      mesh,
		arm:       arm,
		backends:  map[string][]*backend{},
		balancers: map[string]*balance.Balancer{},
		ratios:    map[string]*retrybudget.Ratio{},
		turns:     map[string]int{},
		slowed:    map[string]float64{},
		capacity:  mesh.capacity(),
	}
	for i := range mesh.Services {
		service := &mesh.Services[i]
		for number := range service.Backends {
			w.backends[service.Name] = append(w.backends[service.Name], w.newBackend(service, number))
		}
	}
	for i := range doors {
		w.doors = append(w.doors, &door{id: fmt.Sprintf("door-%d", i), zone: i % mesh.Zones})
	}
	return w
}

func (w *world) newBackend(service *Service, number int) *backend {
	b := &backend{id: fmt.Sprintf("%s-%d", service.Name, number), service: service, zone: number % w.mesh.Zones, slow: 1}
	if w.arm.admission {
		b.controller = admission.NewController(w.Now(), admission.Config{
			MaximumLimit: w.maximumLimit(service),
			QueueTime:    policy.DefaultQueueTime,
			FixedLimit:   !w.arm.adaptive,
			Unordered:    !w.arm.ordered,
		})
	}
	return b
}

// maximumLimit is the fixed limit, or the bound of the adaptive one, which does
// not know the slots.
func (w *world) maximumLimit(service *Service) int {
	if !w.arm.adaptive {
		return service.Slots + service.Queue // as many as it has connections
	}
	return policy.DefaultConcurrencyMax
}

// balancer returns the balancer of one caller for a service.
func (w *world) balancer(caller string, zone int, service string) *balance.Balancer {
	key := caller + " " + service
	if known, exists := w.balancers[key]; exists {
		return known
	}
	created := balance.New(balance.Config{Region: "r", Zone: strconv.Itoa(zone), Random: w.random.IntN})
	w.balancers[key] = created
	w.updateBalancer(created, service, w.Now().Add(-time.Hour))
	return created
}

// updateBalancer tells a balancer the back ends that are there.
func (w *world) updateBalancer(b *balance.Balancer, service string, at time.Time) {
	targets := []balance.Target{}
	for _, candidate := range w.backends[service] {
		if !candidate.gone {
			targets = append(targets, balance.Target{ID: candidate.id, Region: "r", Zone: strconv.Itoa(candidate.zone)})
		}
	}
	b.Update(at, targets)
}

// membershipChanged tells all balancers, after the time that gossip takes.
func (w *world) membershipChanged(service string, after time.Duration) {
	w.After(after, func() {
		for key, b := range w.balancers {
			if len(key) > len(service) && key[len(key)-len(service)-1:] == " "+service {
				w.updateBalancer(b, service, w.Now())
			}
		}
	})
}

// request is a user request on its way.
type request struct {
	kind     int
	name     string
	priority int
	deadline time.Time
	used     time.Duration // slot time spent for it
}

// hop is a caller of a service: a door or the node of a back end.
type hop struct {
	id   string
	zone int
}

// reply is the answer of a call.
type reply struct {
	ok      bool
	refused bool // not run
	final   bool // it makes no sense to repeat the call
	unspent int
	level   int
}

// send begins a user request and calls done with its outcome.
func (w *world) send(kind int, done func(bool)) {
	w.requests++
	model := w.mesh.Kinds[kind]
	r := &request{kind: kind, name: strconv.FormatUint(w.requests, 10), deadline: w.Now().Add(model.Deadline)}
	r.priority = admission.Priority(int(model.Class), r.name)
	entry := w.doors[w.random.IntN(len(w.doors))]
	account := retrybudget.Open(max(w.arm.budget, 0))
	finished := false
	finish := func(ok bool) {
		if finished {
			return
		}
		finished = true
		if ok {
			w.useful += r.used
		} else {
			w.wasted += r.used
		}
		done(ok)
	}
	w.After(model.Deadline, func() { finish(false) }) // the caller gives up
	w.After(w.mesh.Callers, func() {
		w.call(hop{entry.id, entry.zone}, r, 0, account, func(got reply) {
			w.After(w.mesh.Callers, func() { finish(got.ok) })
		})
	})
}

// call makes the call to the i-th service of the chain, with retries.
func (w *world) call(from hop, r *request, i int, account *retrybudget.Account, done func(reply)) {
	service := w.mesh.Kinds[r.kind].Chain[i]
	w.ratio(from, service).Call(w.Now(), policy.DefaultRetryRatio)
	left := w.arm.hopRetries
	tried := []string{}
	var attempt func()
	attempt = func() {
		loan := account.Lend()
		w.attempt(from, r, i, loan, &tried, func(got reply) {
			account.Repay(loan, got.unspent)
			if got.ok || got.final || !w.Now().Before(r.deadline) || !w.mayRepeat(from, service, r, got, account, &left) {
				done(got)
				return
			}
			w.retries++
			attempt()
		})
	}
	attempt()
}

// mayRepeat decides on a retry as the arm does.
func (w *world) mayRepeat(from hop, service string, r *request, got reply, account *retrybudget.Account, left *int) bool {
	if !got.refused && !w.mesh.Kinds[r.kind].Repeatable {
		return false
	}
	if w.arm.budget < 0 {
		*left--
		return *left >= 0
	}
	if !account.Spend() {
		return false
	}
	return !w.arm.ratio || w.ratio(from, service).Retry(w.Now())
}

func (w *world) ratio(from hop, service string) *retrybudget.Ratio {
	key := from.id + " " + service
	if _, exists := w.ratios[key]; !exists {
		w.ratios[key] = retrybudget.NewRatio(w.Now())
	}
	return w.ratios[key]
}

// choose picks a back end. It returns nil when the call is refused early.
func (w *world) choose(from hop, r *request, service, path string, tried *[]string) (*backend, reply) {
	if !w.arm.balance {
		list := w.backends[service]
		w.turns[from.id+service]++
		return list[w.turns[from.id+service]%len(list)], reply{}
	}
	b := w.balancer(from.id, from.zone, service)
	if w.arm.early {
		if level := b.Level(w.Now(), path); r.priority < level {
			return nil, reply{refused: true, final: true, level: level}
		}
	}
	priority := r.priority
	if !w.arm.early {
		priority = admission.MaximumPriority
	}
	target, found := b.Pick(w.Now(), balance.Need{Path: path, Priority: priority, Exclude: *tried})
	if !found {
		*tried = nil
		target, found = b.Pick(w.Now(), balance.Need{Path: path, Priority: priority})
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
	attemptLatencies   = 8
	minimumAttemptTime = 500 * time.Millisecond
)

// attempt makes one attempt of a call.
func (w *world) attempt(from hop, r *request, i int, loan int, tried *[]string, done func(reply)) {
	service := w.mesh.Kinds[r.kind].Chain[i]
	path := w.mesh.Kinds[r.kind].Name + " " + service
	target, refusal := w.choose(from, r, service, path, tried)
	if target == nil {
		refusal.unspent = loan
		done(refusal)
		return
	}
	started := w.Now()
	ended := false
	item := &work{}
	finish := func(got reply, outcome balance.Outcome) {
		if ended {
			return
		}
		ended = true
		if w.arm.balance {
			b := w.balancer(from.id, from.zone, service)
			b.Done(w.Now(), target.id, w.Now().Sub(started), outcome)
			if w.arm.early && outcome == balance.Answered {
				b.SetLevel(w.Now(), target.id, path, got.level)
				got.level = b.Level(w.Now(), path)
			}
		}
		done(got)
	}
	w.After(w.attemptTime(from, r, service, target, started), func() {
		if !ended {
			item.cancelled = true
			finish(reply{}, balance.Failed)
		}
	})
	way := w.way(from.zone, target.zone)
	w.After(way, func() {
		if target.gone {
			w.After(way, func() { finish(reply{refused: true, unspent: loan}, balance.Failed) })
			return
		}
		if target.frozen {
			return
		}
		w.serve(target, r, i, loan, item, func(got reply) {
			w.After(way, func() { finish(got, balance.Answered) })
		})
	})
}

// attemptTime is when an attempt is given up.
func (w *world) attemptTime(from hop, r *request, service string, target *backend, started time.Time) time.Duration {
	left := r.deadline.Sub(started)
	if !w.arm.balance || !w.mesh.Kinds[r.kind].Repeatable {
		return left
	}
	usual := w.balancer(from.id, from.zone, service).Latency(target.id)
	return min(left, max(attemptLatencies*usual, minimumAttemptTime))
}

func (w *world) way(a, b int) time.Duration {
	if a == b {
		return 100 * time.Microsecond
	}
	return w.mesh.ZoneWay
}
