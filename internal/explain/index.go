package explain

import (
	"slices"

	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/result"
)

// index finds the lines about a request and about the calls made for it.
type index struct {
	records    []Record
	byRequest  map[string][]Record
	children   map[string][]string // names of calls by parent, without duplicates
	suppressed int64
}

func newIndex(records []Record) *index {
	x := &index{records: records, byRequest: map[string][]Record{}, children: map[string][]string{}}
	for _, record := range records {
		x.suppressed += record.Suppressed
		if record.Request == "" {
			continue
		}
		x.byRequest[record.Request] = append(x.byRequest[record.Request], record)
		if record.Parent != "" && !slices.Contains(x.children[record.Parent], record.Request) {
			x.children[record.Parent] = append(x.children[record.Parent], record.Request)
		}
	}
	return x
}

// steps returns the lines of a request, causes first: those of the calls made for it,
// those of nodes that received it, the retries of the process that sent it, and the outcome
// at that process. It skips requests in seen and adds those that it visits.
func (x *index) steps(request string, depth int, seen map[string]bool) []Step {
	if seen[request] {
		return nil
	}
	seen[request] = true
	steps := []Step{}
	for _, child := range x.children[request] {
		steps = append(steps, x.steps(child, depth+1, seen)...)
	}
	for _, matches := range []func(Record) bool{isInbound, isRetry, isOutcome} {
		for _, record := range x.byRequest[request] {
			if matches(record) {
				steps = append(steps, Step{Depth: depth, Record: record})
			}
		}
	}
	return steps
}

func isInbound(record Record) bool { return record.Direction == kernel.DirectionInbound }

func isRetry(record Record) bool { return record.Event == event.AttemptRepeated }

func isOutcome(record Record) bool { return !isInbound(record) && !isRetry(record) }

// hasOwnReason reports whether a line can be a cause. A call that ended because its caller
// cancelled it or went away is only an effect.
func hasOwnReason(record Record) bool {
	return record.Code != result.CallerCancelled && record.Code != result.CallerGone
}

func isIndependentOutcome(record Record) bool { return isOutcome(record) && hasOwnReason(record) }

// cause returns the line that most likely determined the outcome of a request. It
// follows the calls of the request down to the deepest one that failed on its own.
func (x *index) cause(request string, seen map[string]bool) Record {
	seen[request] = true
	for _, child := range x.children[request] {
		if !seen[child] && slices.ContainsFunc(x.byRequest[child], isIndependentOutcome) {
			return x.cause(child, seen)
		}
	}
	own := x.byRequest[request]
	for _, fits := range []func(Record) bool{
		func(record Record) bool { return isInbound(record) && hasOwnReason(record) },
		hasOwnReason,
	} {
		if found := slices.IndexFunc(own, fits); found >= 0 {
			return own[found]
		}
	}
	return own[0]
}
