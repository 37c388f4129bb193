// Package replay runs recorded traces through the decision code in virtual time and
// compares its decisions with the outcomes in the trace.
//
// A trace is a YAML file. Each step has a time since the start, one action and, in "expect",
// the outcome that it must have. The package owns the trace format and one runner for each
// kind of decision code. It relies on that code and, for gossip, on package simulation. The
// recorded traces are in testdata.
package replay

import (
	"fmt"
	"os"
	"time"

	"github.com/goccy/go-yaml"
)

// Trace is a recorded sequence of events.
type Trace struct {
	Name string `yaml:"name"`
	// Source is the test or run that the trace was recorded from.
	Source string `yaml:"source"`
	// Runner selects the decision code: admission, budget, claims, gossip or spread.
	Runner  string  `yaml:"player"`
	Setting Setting `yaml:"setting"`
	Steps   []Step  `yaml:"steps"`
}

// Setting is the initial state of a trace. Each kind of decision code uses some of its
// fields.
type Setting struct {
	Limit     int           `yaml:"limit"`     // Admission: limit of requests in flight.
	QueueTime time.Duration `yaml:"queue"`     // Admission: maximum queue time.
	Grant     int           `yaml:"grant"`     // Budget: retries granted to the user request.
	Replicas  []string      `yaml:"replicas"`  // Claims: replicas of the first epoch.
	Others    []string      `yaml:"others"`    // Claims: other processes, which later epochs may use.
	Retention time.Duration `yaml:"retention"` // Claims: time that a claim is kept.
	Members   int           `yaml:"members"`   // Gossip: number of members.
	Loss      float64       `yaml:"loss"`      // Gossip: share of messages that are lost, 0 to 1.
	Seed      uint64        `yaml:"seed"`      // Gossip: seed of the simulation.
}

// Step is one event of a trace.
type Step struct {
	At     time.Duration `yaml:"at"`     // Time since the start.
	Do     string        `yaml:"do"`     // Action.
	Who    string        `yaml:"who"`    // Process, account or request that the step is about.
	From   string        `yaml:"from"`   // Process or account on the other side.
	Key    string        `yaml:"key"`    // Claims: idempotency key.
	Run    string        `yaml:"run"`    // Claims: execution that requests the claim.
	Class  int           `yaml:"class"`  // Admission: priority class.
	Left   time.Duration `yaml:"left"`   // Admission: time to the deadline; gossip: time limit.
	Own    time.Duration `yaml:"own"`    // Admission: time spent in the back end itself.
	Count  int           `yaml:"count"`  // Claims: epoch; gossip: member; spread: revision.
	To     []string      `yaml:"to"`     // Claims: replicas of the new epoch.
	Expect string        `yaml:"expect"` // Expected outcome; not checked if empty.
}

// runner runs the steps of one kind of trace. step returns the outcome, whose text is part
// of the trace format.
type runner interface {
	step(step Step) (string, error)
}

var runners = map[string]func(Setting) runner{
	"admission": newAdmissionRunner,
	"budget":    newBudgetRunner,
	"claims":    newClaimsRunner,
	"gossip":    newGossipRunner,
	"spread":    newSpreadRunner,
}

// Load reads a trace file. It returns an error for unknown fields and unknown decision code.
func Load(file string) (Trace, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Trace{}, fmt.Errorf("reading a trace: %w", err)
	}
	var trace Trace
	if err := yaml.UnmarshalWithOptions(data, &trace, yaml.Strict()); err != nil {
		return Trace{}, fmt.Errorf("%s: %w", file, err)
	}
	if _, exists := runners[trace.Runner]; !exists {
		return Trace{}, fmt.Errorf("%s: unknown player %q", file, trace.Runner)
	}
	return trace, nil
}

// Mismatch is a step whose outcome differs from the expected one.
type Mismatch struct {
	Number int // Position of the step, from 1.
	Step   Step
	Got    string // Outcome of the step.
}

func (m Mismatch) String() string {
	return fmt.Sprintf("step %d at %s, %s %s: got %q, want %q", m.Number, m.Step.At, m.Step.Do, m.Step.Who, m.Got, m.Step.Expect)
}

// Run runs a trace and returns the steps whose outcome differs from the expected one. The
// trace must select known decision code, which Load checks. Run returns an error for an
// unknown action.
func Run(trace Trace) ([]Mismatch, error) {
	r := runners[trace.Runner](trace.Setting)
	mismatches := []Mismatch{}
	for i, step := range trace.Steps {
		got, err := r.step(step)
		if err != nil {
			return mismatches, fmt.Errorf("step %d: %w", i+1, err)
		}
		if step.Expect != "" && got != step.Expect {
			mismatches = append(mismatches, Mismatch{Number: i + 1, Step: step, Got: got})
		}
	}
	return mismatches, nil
}

// start is the start of virtual time.
var start = time.Unix(1_700_000_000, 0)

func unknownAction(step Step) error { return fmt.Errorf("unknown action %q", step.Do) }
