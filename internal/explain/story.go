package explain

import (
	"slices"

	"github.com/loomcleat/loomcleat/result"
)

// Step is one line about a request, Depth calls below the one that was asked for.
type Step struct {
	Depth  int    `json:"Depth"`
	Record Record `json:"Record"`
}

// Story is what the logs tell of one request.
type Story struct {
	// Steps are the lines about it and the calls made for it, causes first.
	Steps []Step `json:"Steps"`
	// Cause is the line that most likely decided how it ended.
	Cause Record `json:"Cause"`
	// Beliefs are earlier lines of the process that wrote Cause, and of the nodes
	// that it had tried, that tell what it believed. The last ones of each kind.
	Beliefs []Record `json:"Beliefs"`
	// Tries are the names of other requests of callers that asked for the same, in the
	// order of the logs: those of a caller that came again, if no other asks for the same.
	Tries []string `json:"Tries"`
	// Crashes are the lines about back ends that crashed under what the request asked
	// for, and about its quarantine.
	Crashes []Record `json:"Crashes"`
	// Suppressed is the number of lines that the logs say were left out.
	Suppressed int64 `json:"Suppressed"`
}

// Tell collects the story of a request by the name that its caller gave it, or by the one
// that the mesh gave to its user request. It returns a result.NotFound error when no line
// names it.
func Tell(records []Record, request string) (Story, error) {
	lines := newIndex(records)
	steps := lines.steps(request, 0, map[string]bool{})
	if len(steps) == 0 {
		return tellUserRequest(lines, request)
	}
	cause := lines.cause(request, map[string]bool{})
	return Story{
		Steps:      steps,
		Cause:      cause,
		Beliefs:    lines.beliefs(cause),
		Tries:      lines.tries(cause, request),
		Crashes:    lines.crashes(cause),
		Suppressed: lines.suppressed,
	}, nil
}

// tellUserRequest tells the story of all calls of a user request, by the name that
// the mesh gave it: callers whose requests have no names of their own know it from
// a line of the log. Calls further down stand first.
func tellUserRequest(lines *index, name string) (Story, error) {
	steps := []Step{}
	for _, record := range lines.records {
		if record.UserRequest == name {
			steps = append(steps, Step{Depth: record.Hops, Record: record})
		}
	}
	if len(steps) == 0 {
		return Story{}, result.New(result.NotFound,
			"no line names request %q: it ended well, or its lines were left out (%d lines were, by these logs)", name, lines.suppressed)
	}
	slices.SortStableFunc(steps, func(x, y Step) int { return y.Depth - x.Depth })
	cause := steps[0].Record
	return Story{Steps: steps, Cause: cause, Beliefs: lines.beliefs(cause), Suppressed: lines.suppressed}, nil
}
