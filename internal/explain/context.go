package explain

import (
	"slices"

	"github.com/loomcleat/loomcleat/event"
)

// contextOf returns lines of the process that wrote the cause and of the nodes that it tried:
// the last one of each event and process. Lines of the process itself are from before the
// cause; lines of the nodes may be from after it, since times of different logs are not
// compared.
func (x *index) contextOf(cause Record) []Record {
	origins := []string{cause.Origin}
	for _, record := range x.records {
		if record.Event == event.ProcessStarting && slices.Contains(cause.Tried, record.ID) {
			origins = append(origins, record.Origin)
		}
	}
	last := map[eventOfProcess]Record{}
	for _, record := range x.records {
		later := record.Origin == cause.Origin && record.Position > cause.Position
		if later || record.Request != "" || !slices.Contains(origins, record.Origin) || !isRelevant(record, cause) {
			continue
		}
		last[eventOfProcess{record.Origin, record.Event}] = record
	}
	found := make([]Record, 0, len(last))
	for _, record := range last {
		found = append(found, record)
	}
	slices.SortFunc(found, func(a, b Record) int { return a.Position - b.Position })
	return found
}

// eventOfProcess identifies an event of one process.
type eventOfProcess struct {
	origin string
	event  event.Number
}

// isRelevant reports whether an earlier line is relevant to the cause.
func isRelevant(earlier, cause Record) bool {
	switch {
	case earlier.Event == event.GateMoved:
		return earlier.Path == cause.Path
	case earlier.Member != "":
		return slices.Contains(cause.Tried, earlier.Member)
	case earlier.Node != "":
		return slices.Contains(cause.Tried, earlier.Node)
	default:
		return true
	}
}

// otherRequests returns the names of the other requests with the signature of the cause, without
// duplicates.
func (x *index) otherRequests(cause Record, request string) []string {
	names := []string{}
	for _, record := range x.records {
		same := cause.Signature != "" && record.Signature == cause.Signature && record.Request != ""
		if same && record.Request != request && record.Request != cause.Request && !slices.Contains(names, record.Request) {
			names = append(names, record.Request)
		}
	}
	return names
}

// crashes returns the lines about back ends that crashed with a request of the cause's
// signature in flight, and about the quarantine of that signature.
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
