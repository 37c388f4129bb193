package explain

import (
	"fmt"
	"io"
	"strings"

	"github.com/loomcleat/loomcleat/event"
)

// Print writes a report as text for operators.
func (r *Report) Print(out io.Writer) {
	fmt.Fprintln(out, "What was decided, causes first:")
	for _, step := range r.Steps {
		fmt.Fprintf(out, "%s%s\n", strings.Repeat("  ", step.Depth+1), step.Record.summary())
	}
	fmt.Fprintln(out, "Likely cause:")
	fmt.Fprintf(out, "  %s\n  %s\n", r.Cause.summary(), r.Cause.meaning())
	if len(r.Context) > 0 {
		fmt.Fprintln(out, "What was believed before, by the process that decided and those it tried:")
	}
	for _, earlier := range r.Context {
		fmt.Fprintf(out, "  %s %s\n", earlier.Origin, earlier.Text)
	}
	if len(r.OtherRequests) > 0 {
		fmt.Fprintf(out, "Other tries that asked for the same: %s\n", joinLimited(r.OtherRequests))
	}
	if len(r.Crashes) > 0 {
		fmt.Fprintln(out, "Back ends that crashed under what it asked for:")
	}
	for _, line := range r.Crashes {
		fmt.Fprintf(out, "  %s\n", line.crashSummary())
	}
	if r.Suppressed > 0 {
		fmt.Fprintf(out, "These logs left out %d lines.\n", r.Suppressed)
	}
}

// maximumShown bounds the number of names in a printed list.
const maximumShown = 20

// joinLimited joins names and replaces those beyond maximumShown by their number.
func joinLimited(names []string) string {
	if len(names) <= maximumShown {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:maximumShown], ", "), len(names)-maximumShown)
}

// crashSummary is the printed form of a line about a crash or a quarantine. For a crash
// it has the number of requests that were in flight.
func (r *Record) crashSummary() string {
	text := fmt.Sprintf("%s %d %s", r.Origin, int(r.Event), r.Name)
	if r.Instance != "" {
		text += fmt.Sprintf(" instance=%s with %d requests", r.Instance, len(r.Signatures))
	}
	return text
}

// summary is the printed form of a line about a request.
func (r *Record) summary() string {
	parts := []string{fmt.Sprintf("%s %d %s", r.Origin, int(r.Event), r.Name), "request=" + r.Request}
	add := func(name, value string) {
		if value != "" {
			parts = append(parts, name+"="+value)
		}
	}
	add("service", r.Service)
	add("direction", r.Direction)
	if r.Code != 0 {
		add("code", fmt.Sprintf("%d", int(r.Code)))
	}
	if r.Status != 0 {
		add("status", fmt.Sprintf("%d", r.Status))
	}
	add("outcome", r.Outcome)
	add("tried", strings.Join(r.Tried, ","))
	add("detail", r.Detail)
	return strings.Join(parts, " ")
}

// meaning describes a cause in a sentence.
func (r *Record) meaning() string {
	switch {
	case r.Code.Known():
		return r.Code.Definition().Text
	case r.Event == event.AnsweredWithFailure:
		return "The back end itself answered with a failure, and none of the calls that it made is known to have failed."
	default:
		return "Result " + fmt.Sprint(int(r.Code)) + " is not in the table."
	}
}
