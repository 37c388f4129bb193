package explain

import (
	"slices"

	"github.com/loomcleat/loomcleat/result"
)

// Step is one log line about a request or a call made for it. Depth is the number of
// calls between the explained request and this one.
type Step struct {
	Depth  int    `json:"Depth"`
	Record Record `json:"Record"`
}

// Report explains the outcome of one request.
type Report struct {
	// Steps are the lines about the request and the calls made for it, causes first.
	Steps []Step `json:"Steps"`
	// Cause is the line that most likely determined the outcome.
	Cause Record `json:"Cause"`
	// Context are lines that show the state in which the process that wrote Cause decided:
	// its own lines from before Cause, and lines of the nodes that it tried, which may be
	// from after it. Only the last line of each event and process is included.
	Context []Record `json:"Beliefs"`
	// OtherRequests are the names of other requests with the same signature, in the order
	// of the logs. They are usually retries by the same client.
	OtherRequests []string `json:"Tries"`
	// Crashes are the lines about back ends that crashed with a request of this signature
	// in flight, and about the quarantine of the signature.
	Crashes []Record `json:"Crashes"`
	// Suppressed is the number of lines that the processes omitted, according to the
	// logs.
	Suppressed int64 `json:"Suppressed"`
}

// NewReport explains a request, identified by the name that its caller gave it or by the
// name that the mesh gave its user request. It returns a result.NotFound error if no
// record names the request.
func NewReport(records []Record, request string) (Report, error) {
	lines := newIndex(records)
	steps := lines.steps(request, 0, map[string]bool{})
	if len(steps) == 0 {
		return newUserRequestReport(lines, request)
	}
	cause := lines.cause(request, map[string]bool{})
	return Report{
		Steps:         steps,
		Cause:         cause,
		Context:       lines.contextOf(cause),
		OtherRequests: lines.otherRequests(cause, request),
		Crashes:       lines.crashes(cause),
		Suppressed:    lines.suppressed,
	}, nil
}

// newUserRequestReport explains all calls of a user request, identified by the name that
// the mesh gave it. Callers that do not name their requests find that name in the logs.
// The deepest calls come first.
func newUserRequestReport(lines *index, name string) (Report, error) {
	steps := []Step{}
	for _, record := range lines.records {
		if record.UserRequest == name {
			steps = append(steps, Step{Depth: record.Hops, Record: record})
		}
	}
	if len(steps) == 0 {
		return Report{}, result.New(result.NotFound,
			"no line names request %q: it ended well, or its lines were left out (%d lines were, by these logs)", name, lines.suppressed)
	}
	slices.SortStableFunc(steps, func(x, y Step) int { return y.Depth - x.Depth })
	cause := steps[0].Record
	return Report{Steps: steps, Cause: cause, Context: lines.contextOf(cause), Suppressed: lines.suppressed}, nil
}
