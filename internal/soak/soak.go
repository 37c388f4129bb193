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
	// Program is the path of the program under test. Required.
	Program string
	// Folder receives the settings and logs of the processes. Required; it must exist.
	Folder string
	// Nodes is the number of processes, 6 to 48, spread over three services. Default 9.
	Nodes int
	// Seed of the faults. The same seed gives the same series of faults; the timing of the
	// processes varies.
	Seed uint64
	// Duration is the time during which faults are injected, 10s to 24h. Default 1m.
	Duration time.Duration
	// Faults are the names of the faults that are drawn (FaultNames). Default: all.
	Faults []string
	// Log receives progress messages. Default: they are discarded.
	Log func(format string, arguments ...any)
}

// Bounds and defaults of a Config.
const (
	minimumNodes = 6
	maximumNodes = 48
	defaultNodes = 9
	minimumTime  = 10 * time.Second
	maximumTime  = 24 * time.Hour
	defaultTime  = time.Minute
)

// check sets defaults. It returns a result.UsageInvalid error for invalid values.
func (c *Config) check() error {
	if c.Nodes == 0 {
		c.Nodes = defaultNodes
	}
	if c.Duration == 0 {
		c.Duration = defaultTime
	}
	if c.Log == nil {
		c.Log = func(string, ...any) {}
	}
	if c.Nodes < minimumNodes || c.Nodes > maximumNodes {
		return result.New(result.UsageInvalid, "a soak needs %d to %d nodes, got %d", minimumNodes, maximumNodes, c.Nodes)
	}
	if c.Duration < minimumTime || c.Duration > maximumTime {
		return result.New(result.UsageInvalid, "a soak must last %s to %s, got %s", minimumTime, maximumTime, c.Duration)
	}
	if _, err := selectFaults(c.Faults); err != nil {
		return err
	}
	if _, err := os.Stat(c.Program); err != nil {
		return result.Wrap(result.UsageInvalid, err, "the program under test")
	}
	return nil
}

// Report is the outcome of a soak.
type Report struct {
	Seed       uint64         `json:"seed"`
	Seconds    float64        `json:"seconds"`
	Sent       map[string]int `json:"sent"`    // Requests sent, by kind.
	Served     map[string]int `json:"served"`  // Requests answered correctly, by kind.
	Crashes    map[string]int `json:"crashes"` // Incarnations of back ends reached, by crashing request.
	Violations []Violation    `json:"violations"`
}

// Run runs a soak for the configured time or until ctx is done. It returns an error if the
// soak could not be started; violated invariants are listed in the report.
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
	if !c.waitUntilServing(ctx) {
		return nil, result.New(result.NotReady, "the processes did not start to serve requests; their logs are in %s", config.Folder)
	}
	c.runCycles(ctx)
	if ctx.Err() == nil && !c.waitUntilServing(ctx) {
		checker.Violate(time.Now(), Recovery, "not all nodes serve all requests %s after the last fault", recoveryTime)
	}
	sent, served := checker.Counts()
	return &Report{
		Seed:       config.Seed,
		Seconds:    time.Since(started).Seconds(),
		Sent:       sent,
		Served:     served,
		Crashes:    checker.Crashes(),
		Violations: checker.Violations(),
	}, nil
}

// runCycles alternates fault phases and calm phases while the callers keep sending. Each cycle
// adds a new request that crashes back ends and keeps sending that of the previous cycle.
func (c *callers) runCycles(ctx context.Context) {
	random := rand.New(rand.NewPCG(c.fleet.config.Seed, 0))
	sending, stop := context.WithTimeout(ctx, c.fleet.config.Duration)
	defer stop()
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		c.run(sending)
	}()
	for cycle := 0; sending.Err() == nil; cycle++ {
		c.fleet.runFaults(sending, random)
		crashing, cancel := context.WithTimeout(sending, calmPhaseTime)
		c.fleet.config.Log("calm phase, with requests that crash back ends")
		c.crash(crashing, crasherName(cycle), crasherName(max(cycle-1, 0)))
		cancel()
	}
	<-finished
}

// recoveryTime is the time limit for serving all requests again after the last fault.
const recoveryTime = 15 * time.Second

// waitUntilServing waits until every node serves each kind of request. It returns false if one
// doesn't within recoveryTime.
func (c *callers) waitUntilServing(ctx context.Context) bool {
	client := newClient()
	defer client.CloseIdleConnections()
	deadline := time.Now().Add(recoveryTime)
	for _, n := range c.fleet.nodes {
		for _, kind := range []Kind{lookup, payment} {
			for !c.send(client, n, kind).Correct {
				if time.Now().After(deadline) || ctx.Err() != nil {
					return false
				}
				time.Sleep(callerPause)
			}
		}
	}
	return true
}
