package soak

import (
	"context"
	"math/rand/v2"
	"os"
	"time"

	"github.com/loomcleat/loomcleat/result"
)

// Config configures a soak.
type Config struct {
	// Program is the path of the product's program. Required.
	Program string
	// Folder is where settings and logs of the processes are put. Required; it must exist.
	Folder string
	// Nodes is the number of processes, 6 to 48, spread over three services. Default 9.
	Nodes int
	// Seed draws the faults: the same one gives the same series. Times of processes differ.
	Seed uint64
	// For is how long faults strike, 10s to 24h. Default 1m.
	For time.Duration
	// Log is told what happens. Default: nobody.
	Log func(format string, arguments ...any)
}

// Bounds and defaults of a Config.
const (
	leastNodes   = 6
	mostNodes    = 48
	defaultNodes = 9
	leastFor     = 10 * time.Second
	mostFor      = 24 * time.Hour
	defaultFor   = time.Minute
)

// check fills in defaults. It returns a result.UsageInvalid error for values that can't be
// used.
func (c *Config) check() error {
	if c.Nodes == 0 {
		c.Nodes = defaultNodes
	}
	if c.For == 0 {
		c.For = defaultFor
	}
	if c.Log == nil {
		c.Log = func(string, ...any) {}
	}
	if c.Nodes < leastNodes || c.Nodes > mostNodes {
		return result.New(result.UsageInvalid, "a soak has %d to %d nodes, not %d", leastNodes, mostNodes, c.Nodes)
	}
	if c.For < leastFor || c.For > mostFor {
		return result.New(result.UsageInvalid, "a soak takes %s to %s, not %s", leastFor, mostFor, c.For)
	}
	if _, err := os.Stat(c.Program); err != nil {
		return result.Wrap(result.UsageInvalid, err, "the program to be tested")
	}
	return nil
}

// Report is the outcome of a soak.
type Report struct {
	Seed       uint64         `json:"seed"`
	Seconds    float64        `json:"seconds"`
	Sent       map[string]int `json:"sent"`    // by kind
	Served     map[string]int `json:"served"`  // by kind
	Crashes    map[string]int `json:"crashes"` // back ends that each crashing request took
	Violations []Violation    `json:"violations"`
}

// Run soaks until the time is over or ctx ends. It returns an error when it could not be
// done; broken promises are in the report.
func Run(ctx context.Context, config Config) (*Report, error) {
	if err := config.check(); err != nil {
		return nil, err
	}
	started := time.Now()
	checker := NewChecker(started)
	f, err := newFleet(config, checker)
	if err != nil {
		return nil, err
	}
	defer f.close()
	c := &callers{fleet: f}
	if !c.servedAgain(ctx) {
		return nil, result.New(result.NotReady, "the processes did not begin to serve; their logs are in %s", config.Folder)
	}
	c.soak(ctx)
	if ctx.Err() == nil && !c.servedAgain(ctx) {
		checker.Violate(time.Now(), Recovery, "not all nodes serve all requests %s after the last fault", recoveryTime)
	}
	sent, served := checker.Counts()
	return &Report{
		Seed:       config.Seed,
		Seconds:    time.Since(started).Seconds(),
		Sent:       sent,
		Served:     served,
		Crashes:    checker.CrashesOf(),
		Violations: checker.Violations(),
	}, nil
}

// soak lets spells of faults and calm times follow each other while callers go on. In each
// cycle another request crashes back ends, and that of the cycle before goes on.
func (c *callers) soak(ctx context.Context) {
	random := rand.New(rand.NewPCG(c.fleet.config.Seed, 0))
	asking, stop := context.WithTimeout(ctx, c.fleet.config.For)
	defer stop()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.run(asking)
	}()
	for cycle := 0; asking.Err() == nil; cycle++ {
		c.fleet.runSpell(asking, random)
		crashing, done := context.WithTimeout(asking, calmTime)
		c.fleet.config.Log("calm, with a request that crashes back ends")
		c.crash(crashing, crasherName(cycle), crasherName(max(cycle-1, 0)))
		done()
	}
	<-ended
}

// recoveryTime is the time within which all is served again after the last fault.
const recoveryTime = 15 * time.Second

// servedAgain waits until every node serves each kind of request.
func (c *callers) servedAgain(ctx context.Context) bool {
	client := newClient()
	defer client.CloseIdleConnections()
	deadline := time.Now().Add(recoveryTime)
	for _, n := range c.fleet.nodes {
		for _, kind := range []Kind{lookup, payment} {
			for !c.ask(client, n, kind).Own {
				if time.Now().After(deadline) || ctx.Err() != nil {
					return false
				}
				time.Sleep(callerPause)
			}
		}
	}
	return true
}
