package emulator

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/loomcleat/loomcleat/admission"
	"github.com/loomcleat/loomcleat/balance"
	"github.com/loomcleat/loomcleat/internal/simulation"
	"github.com/loomcleat/loomcleat/policy"
	"github.com/loomcleat/loomcleat/retrybudget"
)

// world is a mesh under load.
type world struct {
	*simulation.Engine
	random    *rand.Rand
	mesh      mesh
	capacity  float64
	backends  map[string][]*backend
	gateways  []caller
	balancers map[string]*balance.Balancer  // by caller and service
	ratios    map[string]*retrybudget.Ratio // the same
	requests  uint64
	retries   int
	outcomes  []outcome
	useful    time.Duration // work for requests that completed
	wasted    time.Duration // work for others
}

// outcome is how one user request ended.
type outcome struct {
	sent      time.Duration
	ended     time.Duration
	kind      int
	completed bool
	first     bool // not a repetition by the caller
}

// caller is a process that calls services: a gateway or the node of a back end.
type caller struct {
	id   string
	zone int
}

func newWorld(m mesh, seed uint64) *world {
	w := &world{
		Engine:    simulation.New(),
		random:    rand.New(rand.NewPCG(seed, 99)),
		mesh:      m,
		capacity:  m.capacity(),
		backends:  map[string][]*backend{},
		balancers: map[string]*balance.Balancer{},
		ratios:    map[string]*retrybudget.Ratio{},
	}
	for i := range m.services {
		service := &m.services[i]
		for number := range service.backends {
			w.backends[service.name] = append(w.backends[service.name], newBackend(w.Now(), service, number))
		}
	}
	for i := range gateways {
		w.gateways = append(w.gateways, caller{id: fmt.Sprintf("gateway-%d", i), zone: i % zones})
	}
	return w
}

// exponential draws an exponentially distributed span with the given mean.
func (w *world) exponential(mean time.Duration) time.Duration {
	return time.Duration(w.random.ExpFloat64() * float64(mean))
}

// setSlow changes the factor of the work of a service.
func (w *world) setSlow(service string, factor float64) {
	for _, b := range w.backends[service] {
		b.slow = factor
	}
}

// balancer returns the balancer of a caller for a service.
func (w *world) balancer(from caller, service string) *balance.Balancer {
	key := from.id + " " + service
	if known, exists := w.balancers[key]; exists {
		return known
	}
	created := balance.New(balance.Config{Region: "r", Zone: strconv.Itoa(from.zone), Random: w.random.IntN})
	targets := []balance.Target{}
	for _, b := range w.backends[service] {
		targets = append(targets, balance.Target{ID: b.id, Region: "r", Zone: strconv.Itoa(b.zone)})
	}
	created.Update(w.Now().Add(-time.Hour), targets) // none of them is new
	w.balancers[key] = created
	return created
}

// ratio returns the bound on retries of a caller at a service.
func (w *world) ratio(from caller, service string) *retrybudget.Ratio {
	key := from.id + " " + service
	if _, exists := w.ratios[key]; !exists {
		w.ratios[key] = retrybudget.NewRatio(w.Now())
	}
	return w.ratios[key]
}

// request is a user request on its way.
type request struct {
	kind     int
	priority int
	deadline time.Time
	used     time.Duration // slot time spent for it
}

// reply is the answer of a call.
type reply struct {
	ok      bool
	refused bool // not run
	final   bool // it makes no sense to repeat the call
	unspent int  // retries that come back
	level   int
}

// send begins a user request and calls done with its outcome.
func (w *world) send(kind int, done func(ok bool)) {
	w.requests++
	r := &request{
		kind:     kind,
		priority: admission.Priority(int(w.mesh.kinds[kind].class), strconv.FormatUint(w.requests, 10)),
		deadline: w.Now().Add(requestTime),
	}
	gateway := w.gateways[w.random.IntN(len(w.gateways))]
	account := retrybudget.Open(policy.DefaultRetryBudget)
	finished := false
	end := func(ok bool) {
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
	w.After(requestTime, func() { end(false) }) // the caller gives up
	w.After(callerDelay, func() {
		w.call(gateway, r, 0, account, func(got reply) {
			w.After(callerDelay, func() { end(got.ok) })
		})
	})
}

// call makes the call to the i-th service of the chain, with retries.
func (w *world) call(from caller, r *request, i int, account *retrybudget.Account, done func(reply)) {
	service := w.mesh.services[i].name
	w.ratio(from, service).Call(w.Now(), policy.DefaultRetryRatio)
	tried := []string{}
	var try func()
	try = func() {
		loan := account.Lend()
		w.attempt(from, r, i, loan, &tried, func(got reply) {
			account.Repay(loan, got.unspent)
			if got.ok || got.final || !w.Now().Before(r.deadline) || !w.mayRepeat(from, service, r, got, account) {
				done(got)
				return
			}
			w.retries++
			try()
		})
	}
	try()
}

// mayRepeat decides on a retry and spends it.
func (w *world) mayRepeat(from caller, service string, r *request, got reply, account *retrybudget.Account) bool {
	if !got.refused && !w.mesh.kinds[r.kind].repeatable {
		return false
	}
	return account.Spend() && w.ratio(from, service).Retry(w.Now())
}
