package explain

import (
	"slices"

	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/result"
)

// index finds the lines about a request and the calls that were made for it.
type index struct {
	records    []Record
	byRequest  map[string][]Record
	children   map[string][]string // by the parent's name, each name once
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

// steps returns the lines of a request in order of cause: its calls, what nodes
// beside back ends said, what its entry tried, how it ended there.
// Requests in seen are left out, and it takes those that are told.
func (x *index) steps(request string, depth int, seen map[string]bool) []Step {
	if seen[request] {
		return nil
	}
	seen[request] = true
	steps := []Step{}
	for _, child := range x.children[request] {
		steps = append(steps, x.steps(child, depth+1, seen)...)
	}
	for _, rank := range []func(Record) bool{isInbound, isRepeat, isEnd} {
		for _, record := range x.byRequest[request] {
			if rank(record) {
				steps = append(steps, Step{Depth: depth, Record: record})
			}
		}
	}
	return steps
}

func isInbound(record Record) bool { return record.Direction == kernel.DirectionInbound }

func isRepeat(record Record) bool { return record.Event == event.AttemptRepeated }

func isEnd(record Record) bool { return !isInbound(record) && !isRepeat(record) }

// ownReason reports whether a line tells a reason of its own. A call that ended
// since whoever had made it went away shows an effect.
func ownReason(record Record) bool {
	return record.Code != result.CallerCancelled && record.Code != result.CallerGone
}

func decidedItself(record Record) bool { return isEnd(record) && ownReason(record) }

// cause follows the calls of a request down to the first that did not end well.
func (x *index) cause(request string, seen map[string]bool) Record {
	seen[request] = true
	for _, child := range x.children[request] {
		if !seen[child] && slices.ContainsFunc(x.byRequest[child], decidedItself) {
			return x.cause(child, seen)
		}
	}
	own := x.byRequest[request]
	for _, fits := range []func(Record) bool{
		func(record Record) bool { return isInbound(record) && ownReason(record) },
		ownReason,
	} {
		if found := slices.IndexFunc(own, fits); found >= 0 {
			return own[found]
		}
	}
	return own[0]
}
