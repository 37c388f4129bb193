// Package backend is a stand-in for a back end: it has slots and a queue, makes
// the calls that a call graph describes, keeps a record of what it ran, and can
// be told to misbehave. Request headers tell it what to answer. It owns its listener
// from Start until Shutdown or Close, and relies on package serving. The demo and the
// tests use it.
package backend

import (
	"time"

	"github.com/loomcleat/loomcleat/policy"
)

// Graph is the call graph of a mesh, by service.
type Graph map[string]Service

// Service is what the back ends of one service do.
type Service struct {
	Slots  int // requests worked on at once, 0: no limit
	Queue  int // requests that may wait for a slot
	Routes []Route
}

// Route is what happens for one kind of request. The first match counts.
type Route struct {
	Match  string        // "METHOD /path" as in the policy tree
	Work   time.Duration // own work
	Stages [][]Call      // one after the other; the calls of a stage at once

	pattern policy.Pattern
}

// Call is one call to another service.
type Call struct {
	Service string
	Method  string
	Path    string
}

// prepare parses the patterns of a service.
func (s *Service) prepare() error {
	s.Routes = append([]Route{}, s.Routes...) // the graph may be shared
	for i := range s.Routes {
		pattern, err := policy.ParsePattern(s.Routes[i].Match)
		if err != nil {
			return err
		}
		s.Routes[i].pattern = pattern
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
