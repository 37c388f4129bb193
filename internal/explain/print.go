package explain

import (
	"fmt"
	"io"
	"strings"

	"github.com/loomcleat/loomcleat/event"
)

// Print writes a story for people.
func (s *Story) Print(out io.Writer) {
	fmt.Fprintln(out, "What was decided, causes first:")
	for _, step := range s.Steps {
		fmt.Fprintf(out, "%s%s\n", strings.Repeat("  ", step.Depth+1), step.Record.summary())
	}
	fmt.Fprintln(out, "Likely cause:")
	fmt.Fprintf(out, "  %s\n  %s\n", s.Cause.summary(), s.Cause.meaning())
	if len(s.Beliefs) > 0 {
		fmt.Fprintln(out, "What was believed before, by the process that decided and those it tried:")
	}
	for _, belief := range s.Beliefs {
		fmt.Fprintf(out, "  %s %s\n", belief.Origin, belief.Text)
	}
	if len(s.Tries) > 0 {
		fmt.Fprintf(out, "Other tries that asked for the same: %s\n", shortened(s.Tries))
	}
	if len(s.Crashes) > 0 {
		fmt.Fprintln(out, "Back ends that crashed under what it asked for:")
	}
	for _, line := range s.Crashes {
		fmt.Fprintf(out, "  %s\n", line.crashSummary())
	}
	if s.Suppressed > 0 {
		fmt.Fprintf(out, "These logs left out %d lines.\n", s.Suppressed)
	}
}

// maximumShown bounds the names that are printed behind each other.
const maximumShown = 20

// shortened joins names, of which the first ones are enough.
func shortened(names []string) string {
	if len(names) <= maximumShown {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:maximumShown], ", "), len(names)-maximumShown)
}

// crashSummary is a line about crashes in short: those that were lost beside the request
// are counted.
func (r *Record) crashSummary() string {
	text := fmt.Sprintf("%s %d %s", r.Origin, int(r.Event), r.Name)
	if r.Instance != "" {
		text += fmt.Sprintf(" instance=%s with %d requests", r.Instance, len(r.Signatures))
	}
	return text
}

// summary is the line in short.
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

// meaning says what a cause means.
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
