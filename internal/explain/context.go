package explain

import (
	"slices"

	"github.com/loomcleat/loomcleat/event"
)

// beliefs returns the last lines before the cause, of each event and process.
func (x *index) beliefs(cause Record) []Record {
	origins := []string{cause.Origin}
	for _, record := range x.records {
		if record.Event == event.ProcessStarting && slices.Contains(cause.Tried, record.ID) {
			origins = append(origins, record.Origin)
		}
	}
	last := map[kindOfLine]Record{}
	for _, record := range x.records {
		later := record.Origin == cause.Origin && record.Position > cause.Position
		if later || record.Request != "" || !slices.Contains(origins, record.Origin) || !concerns(record, cause) {
			continue
		}
		last[kindOfLine{record.Origin, record.Event}] = record
	}
	found := make([]Record, 0, len(last))
	for _, record := range last {
		found = append(found, record)
	}
	slices.SortFunc(found, func(a, b Record) int { return a.Position - b.Position })
	return found
}

// kindOfLine is an event of one log.
type kindOfLine struct {
	origin string
	event  event.Number
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

// tries returns the other requests that asked for the same, each once.
func (x *index) tries(cause Record, request string) []string {
	names := []string{}
	for _, record := range x.records {
		same := cause.Signature != "" && record.Signature == cause.Signature && record.Request != ""
		if same && record.Request != request && record.Request != cause.Request && !slices.Contains(names, record.Request) {
			names = append(names, record.Request)
		}
	}
	return names
}

// crashes returns what the logs say of back ends that crashed under what the request
// asked for.
func (x *index) crashes(cause Record) []Record {
	lines := []Record{}
	for _, record := range x.records {
		about := record.Request == "" && (record.Signature == cause.Signature || slices.Contains(record.Signatures, cause.Signature))
		if cause.Signature != "" && about {
			lines = append(lines, record)
		}
	}
	return lines
}
