// Package backend is a stand-in for a back end: it has slots and a queue, makes
// the calls that a call graph describes, keeps a record of what it ran, and can
// be told to misbehave.
package backend

import (
	"fmt"
	"os"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/loomcleat/loomcleat/policy"
)

// Graph is the call graph of a mesh, by service.
type Graph struct {
	Services map[string]Service `yaml:"services"`
}

// Service is what the back ends of one service do.
type Service struct {
	Slots  int     `yaml:"slots"` // requests worked on at once, 0: no limit
	Queue  int     `yaml:"queue"` // requests that may wait for a slot
	Routes []Route `yaml:"routes"`
}

// Route is what happens for one kind of request. The first match counts.
type Route struct {
	Match  string   `yaml:"match"`  // "METHOD /path" as in the policy tree
	Work   string   `yaml:"work"`   // duration of the own work
	Stages [][]Call `yaml:"stages"` // one after the other; the calls of a stage at once

	pattern policy.Pattern
	work    time.Duration
}

// Call is one call to another service.
type Call struct {
	Service string `yaml:"service"`
	Method  string `yaml:"method"`
	Path    string `yaml:"path"`
}

// LoadGraph reads a call graph from a YAML file.
func LoadGraph(file string) (Graph, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Graph{}, fmt.Errorf("reading the call graph: %w", err)
	}
	var graph Graph
	if err := yaml.UnmarshalWithOptions(data, &graph, yaml.Strict()); err != nil {
		return Graph{}, fmt.Errorf("%s: %w", file, err)
	}
	return graph, nil
}

// prepare parses the patterns and durations of a service.
func (s *Service) prepare() error {
	s.Routes = append([]Route{}, s.Routes...) // the graph may be shared
	for i := range s.Routes {
		route := &s.Routes[i]
		pattern, err := policy.ParsePattern(route.Match)
		if err != nil {
			return err
		}
		route.pattern = pattern
		if route.Work == "" {
			continue
		}
		if route.work, err = time.ParseDuration(route.Work); err != nil {
			return fmt.Errorf("route %q: %w", route.Match, err)
		}
	}
	return nil
}

// find returns the route of a request, or one that does nothing.
func (s *Service) find(method, path string) *Route {
	for i := range s.Routes {
		if s.Routes[i].pattern.Matches(method, path) {
			return &s.Routes[i]
		}
	}
	return &Route{}
}
