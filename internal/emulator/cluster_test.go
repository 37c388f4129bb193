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

// cluster is a simulated cluster under load.
type cluster struct {
	*simulation.Engine
	random    *rand.Rand
	mesh      mesh
	capacity  float64
	backends  map[string][]*backend
	gateways  []caller
	balancers map[string]*balance.Balancer  // by caller and service, separated by a space
	ratios    map[string]*retrybudget.Ratio // by caller and service, separated by a space
	requests  uint64
	retries   int
	outcomes  []outcome
	useful    time.Duration // work for user requests that completed
	wasted    time.Duration // work for user requests that did not complete
}

// outcome is the outcome of one user request. Times are virtual, from the start.
type outcome struct {
	sent      time.Duration
	ended     time.Duration
	kind      int
	completed bool
	first     bool // first attempt, not a retry by the client
}

// caller is a process that calls services: a gateway or the node of a back end.
type caller struct {
	id   string
	zone int
}

func newCluster(m mesh, seed uint64) *cluster {
	c := &cluster{
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
			c.backends[service.name] = append(c.backends[service.name], newBackend(c.Now(), service, number))
		}
	}
	for i := range gateways {
		c.gateways = append(c.gateways, caller{id: fmt.Sprintf("gateway-%d", i), zone: i % zones})
	}
	return c
}

// exponential draws an exponentially distributed duration with the given mean.
func (c *cluster) exponential(mean time.Duration) time.Duration {
	return time.Duration(c.random.ExpFloat64() * float64(mean))
}

// setSlowdown sets the factor on the own work of a service.
func (c *cluster) setSlowdown(service string, factor float64) {
	for _, b := range c.backends[service] {
		b.slowdown = factor
	}
}

// balancer returns the balancer of a caller for a service and creates it on first use.
func (c *cluster) balancer(from caller, service string) *balance.Balancer {
	key := from.id + " " + service
	if existing, exists := c.balancers[key]; exists {
		return existing
	}
	created := balance.New(balance.Config{Region: "r", Zone: strconv.Itoa(from.zone), Random: c.random.IntN})
	targets := []balance.Target{}
	for _, b := range c.backends[service] {
		targets = append(targets, balance.Target{ID: b.id, Region: "r", Zone: strconv.Itoa(b.zone)})
	}
	created.Update(c.Now().Add(-time.Hour), targets) // in the past, so that no target counts as new
	c.balancers[key] = created
	return created
}

// ratio returns the retry ratio of a caller for a service and creates it on first use.
func (c *cluster) ratio(from caller, service string) *retrybudget.Ratio {
	key := from.id + " " + service
	if _, exists := c.ratios[key]; !exists {
		c.ratios[key] = retrybudget.NewRatio(c.Now())
	}
	return c.ratios[key]
}

// request is a user request in flight.
type request struct {
	kind     int
	priority int
	deadline time.Time
	slotTime time.Duration // own work done for it by all back ends
}

// reply is the reply to a call.
type reply struct {
	ok      bool
	refused bool // not run
	final   bool // a retry cannot succeed
	unused  int  // unused retries of the allowance
	level   int
}

// send sends a user request through a random gateway. done is called once, with false if
// the request fails or its deadline passes.
func (c *cluster) send(kind int, done func(ok bool)) {
	c.requests++
	r := &request{
		kind:     kind,
		priority: admission.Priority(int(c.mesh.kinds[kind].class), strconv.FormatUint(c.requests, 10)),
		deadline: c.Now().Add(requestTimeout),
	}
	gateway := c.gateways[c.random.IntN(len(c.gateways))]
	account := retrybudget.Open(policy.DefaultRetryBudget)
	finished := false
	end := func(ok bool) {
		if finished {
			return
		}
		finished = true
		if ok {
			c.useful += r.slotTime
		} else {
			c.wasted += r.slotTime
		}
		done(ok)
	}
	c.After(requestTimeout, func() { end(false) })
	c.After(clientDelay, func() {
		c.call(gateway, r, 0, account, func(response reply) {
			c.After(clientDelay, func() { end(response.ok) })
		})
	})
}

// call makes the call to the i-th service of the chain, with retries.
func (c *cluster) call(from caller, r *request, i int, account *retrybudget.Account, done func(reply)) {
	service := c.mesh.services[i].name
	c.ratio(from, service).RecordCall(c.Now(), policy.DefaultRetryRatio)
	tried := []string{}
	var try func()
	try = func() {
		allowance := account.Delegate()
		c.attempt(from, r, i, allowance, &tried, func(response reply) {
			account.ReturnUnused(allowance, response.unused)
			if response.ok || response.final || !c.Now().Before(r.deadline) || !c.takeRetry(from, service, r, response, account) {
				done(response)
				return
			}
			c.retries++
			try()
		})
	}
	try()
}

// takeRetry reports whether the call may be retried, and takes the retry from the account
// and the ratio.
func (c *cluster) takeRetry(from caller, service string, r *request, response reply, account *retrybudget.Account) bool {
	if !response.refused && !c.mesh.kinds[r.kind].repeatable {
		return false
	}
	return account.Spend() && c.ratio(from, service).Spend(c.Now())
}
