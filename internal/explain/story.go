package explain

import (
	"slices"

	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/result"
)

// Step is one line about a request, Depth calls below the one that was asked for.
type Step struct {
	Depth  int
	Record Record
}

// Story is what the logs tell of one request.
type Story struct {
	// Steps are the lines about it and the calls made for it, causes first.
	Steps []Step
	// Cause is the line that most likely decided how it ended.
	Cause Record
	// Beliefs are earlier lines of the process that wrote Cause, and of the nodes
	// that it had tried, that tell what it believed. The last ones of each kind.
	Beliefs []Record
	// Tries are the names of other tries that asked for the same, in the order of the
	// logs: those of a caller that came again, if no other asks for the same.
	Tries []string
	// Crashes are the lines about back ends that crashed under what the request asked
	// for, and about its quarantine.
	Crashes []Record
	// Suppressed is the number of lines that the logs say were left out.
	Suppressed int64
}

// Tell collects the story of a request by the name that its caller gave it. It
// returns a result.NotFound error when no line names it.
func Tell(records []Record, request string) (Story, error) {
	book := newBook(records)
	story := Story{Suppressed: book.suppressed}
	story.Steps = book.steps(request, 0, map[string]bool{})
	if len(story.Steps) == 0 {
		return book.tellUserRequest(request)
	}
	story.Cause = book.cause(request, map[string]bool{})
	story.Beliefs = book.beliefs(story.Cause)
	story.Tries = book.tries(story.Cause, request)
	story.Crashes = book.crashes(story.Cause)
	return story, nil
}

// tries returns the other requests that asked for the same, each once.
func (b *book) tries(cause Record, request string) []string {
	names := []string{}
	for _, record := range b.records {
		same := cause.Signature != "" && record.Signature == cause.Signature && record.Request != ""
		if same && record.Request != request && record.Request != cause.Request && !slices.Contains(names, record.Request) {
			names = append(names, record.Request)
		}
	}
	return names
}

// crashes returns what the logs say of back ends that crashed under what the request
// asked for.
func (b *book) crashes(cause Record) []Record {
	lines := []Record{}
	for _, record := range b.records {
		about := record.Request == "" && (record.Signature == cause.Signature || slices.Contains(record.Signatures, cause.Signature))
		if cause.Signature != "" && about {
			lines = append(lines, record)
		}
	}
	return lines
}

// tellUserRequest tells the story of all calls of a user request, by the name that
// the mesh gave it: callers whose requests have no names of their own know it from
// a line of the log. Calls further down stand first.
func (b *book) tellUserRequest(name string) (Story, error) {
	story := Story{Suppressed: b.suppressed}
	for _, record := range b.records {
		if record.UserRequest == name {
			story.Steps = append(story.Steps, Step{Depth: record.Hops, Record: record})
		}
	}
	if len(story.Steps) == 0 {
		return Story{}, result.New(result.NotFound,
			"no line names request %q: it ended well, or its lines were left out (%d lines were, by these logs)", name, b.suppressed)
	}
	slices.SortStableFunc(story.Steps, func(x, y Step) int { return y.Depth - x.Depth })
	story.Cause = story.Steps[0].Record
	story.Beliefs = b.beliefs(story.Cause)
	return story, nil
}

// book is an index of the lines.
type book struct {
	records    []Record
	byRequest  map[string][]Record
	children   map[string][]string // by the parent's name, each name once
	suppressed int64
}

func newBook(records []Record) *book {
	b := &book{records: records, byRequest: map[string][]Record{}, children: map[string][]string{}}
	for _, record := range records {
		b.suppressed += record.Suppressed
		if record.Request == "" {
			continue
		}
		b.byRequest[record.Request] = append(b.byRequest[record.Request], record)
		if record.Parent != "" && !slices.Contains(b.children[record.Parent], record.Request) {
			b.children[record.Parent] = append(b.children[record.Parent], record.Request)
		}
	}
	return b
}

// steps returns the lines of a request in order of cause: its calls, what nodes
// beside back ends said, what its entry tried, how it ended there.
// Requests in seen are left out, and it takes those that are told.
func (b *book) steps(request string, depth int, seen map[string]bool) []Step {
	if seen[request] {
		return nil
	}
	seen[request] = true
	steps := []Step{}
	for _, child := range b.children[request] {
		steps = append(steps, b.steps(child, depth+1, seen)...)
	}
	for _, rank := range []func(Record) bool{isInbound, isRepeat, isEnd} {
		for _, record := range b.byRequest[request] {
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
func (b *book) cause(request string, seen map[string]bool) Record {
	seen[request] = true
	for _, child := range b.children[request] {
		if !seen[child] && slices.ContainsFunc(b.byRequest[child], decidedItself) {
			return b.cause(child, seen)
		}
	}
	own := b.byRequest[request]
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

// beliefs returns the last lines before the cause, of each event and process.
func (b *book) beliefs(cause Record) []Record {
	origins := []string{cause.Origin}
	for _, record := range b.records {
		if record.Event == event.ProcessStarting && slices.Contains(cause.Tried, record.ID) {
			origins = append(origins, record.Origin)
		}
	}
	type kind struct {
		origin string
		event  event.Number
	}
	last := map[kind]Record{}
	for _, record := range b.records {
		later := record.Origin == cause.Origin && record.Position > cause.Position
		if later || record.Request != "" || !slices.Contains(origins, record.Origin) || !concerns(record, cause) {
			continue
		}
		last[kind{record.Origin, record.Event}] = record
	}
	found := make([]Record, 0, len(last))
	for _, record := range last {
		found = append(found, record)
	}
	slices.SortFunc(found, func(x, y Record) int { return x.Position - y.Position })
	return found
}

// concerns reports whether a line of belief has to do with the cause.
func concerns(belief, cause Record) bool {
	switch {
	case belief.Event == event.GateMoved:
		return belief.Path == cause.Path
	case belief.Member != "":
		return slices.Contains(cause.Tried, belief.Member)
	case belief.Node != "":
		return slices.Contains(cause.Tried, belief.Node)
	default:
		return true
	}
}
