// Package backend is a stub of a back end for the demo and the tests. It has slots and a
// queue, makes the calls of a call graph, can record the requests it ran and can inject
// faults. Request headers select the response. It owns its listener from Start until
// Shutdown or Close and relies on package serving.
package backend

import (
	"time"

	"github.com/loomcleat/loomcleat/policy"
)

// Graph is the call graph of a mesh. Keys are names of services.
type Graph map[string]Service

// Service configures the back ends of one service.
type Service struct {
	Slots  int // Requests worked on at the same time. 0: no limit.
	Queue  int // Requests that may wait for a slot.
	Routes []Route
}

// Route describes the work and the calls for matching requests. The first matching route of
// a service applies.
type Route struct {
	Match  string        // Pattern "METHOD /path" as in the policy tree.
	Work   time.Duration // Time that the back end works before it makes calls.
	Stages [][]Call      // Stages run one after the other, the calls of a stage concurrently.

	pattern policy.Pattern
}

// Call is one call to another service.
type Call struct {
	Service string
	Method  string
	Path    string
}

// prepare parses the route patterns. It returns an error for an invalid pattern.
func (s *Service) prepare() error {
	s.Routes = append([]Route{}, s.Routes...) // Copied because the graph may be shared.
	for i := range s.Routes {
		pattern, err := policy.ParsePattern(s.Routes[i].Match)
		if err != nil {
			return err
		}
		s.Routes[i].pattern = pattern
	}
	return nil
}

// find returns the first route that matches, or a route without work and calls.
func (s *Service) find(method, path string) *Route {
	for i := range s.Routes {
		if s.Routes[i].pattern.Matches(method, path) {
			return &s.Routes[i]
		}
	}
	return &Route{}
}
