// Package replay plays recorded traces through the decision code in virtual
// time and compares what it decides with the outcome that the trace states.
//
// A trace is a YAML file. Each step has a time after the start and one action;
// "expect" states what the step must lead to. The package owns the form of traces and one
// player for each kind of decision code; it relies on that code and, for gossip, on
// package simulation. The recorded traces lie in testdata.
package replay

import (
	"fmt"
	"os"
	"time"

	"github.com/goccy/go-yaml"
)

// Trace is one recorded course of events.
type Trace struct {
	Name string `yaml:"name"`
	// Source says where the trace comes from: which test or run recorded it.
	Source string `yaml:"source"`
	// Player is the decision code: admission, budget, claims, gossip or spread.
	Player  string  `yaml:"player"`
	Setting Setting `yaml:"setting"`
	Steps   []Step  `yaml:"steps"`
}

// Setting is what the trace begins with. Each player uses some of it.
type Setting struct {
	Limit     int           `yaml:"limit"`     // admission: requests in flight
	QueueTime time.Duration `yaml:"queue"`     // admission
	Grant     int           `yaml:"grant"`     // budget: retries of the request
	Replicas  []string      `yaml:"replicas"`  // claims: of the first epoch
	Others    []string      `yaml:"others"`    // claims: further processes
	Retention time.Duration `yaml:"retention"` // claims
	Members   int           `yaml:"members"`   // gossip
	Loss      float64       `yaml:"loss"`      // gossip: share of messages
	Seed      uint64        `yaml:"seed"`      // gossip
}

// Step is one event of a trace.
type Step struct {
	At     time.Duration `yaml:"at"`
	Do     string        `yaml:"do"`
	Who    string        `yaml:"who"`    // the process, account or request concerned
	From   string        `yaml:"from"`   // the other side
	Key    string        `yaml:"key"`    // claims
	Run    string        `yaml:"run"`    // claims
	Class  int           `yaml:"class"`  // admission
	Left   time.Duration `yaml:"left"`   // admission: time to the deadline; gossip: limit
	Own    time.Duration `yaml:"own"`    // admission: time of the back end
	Count  int           `yaml:"count"`  // budget: loan; gossip: member; spread: revision
	To     []string      `yaml:"to"`     // claims: replicas of a new epoch
	Expect string        `yaml:"expect"` // what the step must lead to
}

// player plays the steps of one kind of trace. step returns what happened.
type player interface {
	step(step Step) (string, error)
}

var players = map[string]func(Setting) player{
	"admission": newAdmissionPlayer,
	"budget":    newBudgetPlayer,
	"claims":    newClaimsPlayer,
	"gossip":    newGossipPlayer,
	"spread":    newSpreadPlayer,
}

// Load reads a trace.
func Load(file string) (Trace, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Trace{}, fmt.Errorf("reading a trace: %w", err)
	}
	var trace Trace
	if err := yaml.UnmarshalWithOptions(data, &trace, yaml.Strict()); err != nil {
		return Trace{}, fmt.Errorf("%s: %w", file, err)
	}
	if _, exists := players[trace.Player]; !exists {
		return Trace{}, fmt.Errorf("%s: there is no player %q", file, trace.Player)
	}
	return trace, nil
}

// Mismatch is a step that led to something else than the trace states.
type Mismatch struct {
	Number int // of the step, from 1
	Step   Step
	Got    string
}

// String describes the mismatch.
func (m Mismatch) String() string {
	return fmt.Sprintf("step %d at %s, %s %s: got %q, the trace states %q", m.Number, m.Step.At, m.Step.Do, m.Step.Who, m.Got, m.Step.Expect)
}

// Play plays a trace and returns the steps that differ.
func Play(trace Trace) ([]Mismatch, error) {
	p := players[trace.Player](trace.Setting)
	mismatches := []Mismatch{}
	for i, step := range trace.Steps {
		got, err := p.step(step)
		if err != nil {
			return mismatches, fmt.Errorf("step %d: %w", i+1, err)
		}
		if step.Expect != "" && got != step.Expect {
			mismatches = append(mismatches, Mismatch{Number: i + 1, Step: step, Got: got})
		}
	}
	return mismatches, nil
}

// start is the beginning of virtual time.
var start = time.Unix(1_700_000_000, 0)

func unknownAction(step Step) error { return fmt.Errorf("there is no action %q", step.Do) }
