package result

import (
	"errors"
	"fmt"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestTableMatchesDocument(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/RESULTS.md")
	is.NoErr(err)
	rows := 0
	for _, line := range strings.Split(string(page), "\n") {
		if strings.HasPrefix(line, "| 1") || strings.HasPrefix(line, "| 2") || strings.HasPrefix(line, "| 3") || strings.HasPrefix(line, "| 4") || strings.HasPrefix(line, "| 5") {
			rows++
		}
	}
	is.Equal(rows, len(Table)) // one row per code
	for _, definition := range Table {
		row := fmt.Sprintf("| %d | %s | %d | %t | %s |", definition.Code, definition.Name, definition.Status, definition.NotRun, definition.Text)
		is.True(strings.Contains(string(page), row)) // docs/RESULTS.md has this row
	}
}

func TestTableIsOrderedAndGrouped(t *testing.T) {
	is := is.New(t)
	for i, definition := range Table {
		if i > 0 {
			is.True(Table[i-1].Code < definition.Code) // ascending, no duplicates
		}
		switch definition.Code / 1000 {
		case 2, 4:
			is.True(definition.NotRun)
		case 3, 5:
			is.True(!definition.NotRun)
		}
	}
}

// TestErrorStatusAndOutcome guards against a response that claims that a request did not run
// when it may have.
func TestErrorStatusAndOutcome(t *testing.T) {
	cases := []struct {
		name       string
		err        *Error
		status     int
		outcome    string
		retryAfter string
	}{
		{"refusal", New(Overloaded, "busy").WithRetryAfter(1200 * time.Millisecond), 503, OutcomeNotRun, "2"},
		{"unknown", New(ConnectionLost, "cut"), 502, OutcomeUnknown, ""},
		{"refusal after an attempt that may have run", &Error{Code: Overloaded, Ran: true}, 502, OutcomeUnknown, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			recorder := httptest.NewRecorder()
			c.err.WriteHTTP(recorder)
			is.Equal(recorder.Code, c.status)
			is.Equal(recorder.Header().Get(HeaderOutcome), c.outcome)
			is.Equal(recorder.Header().Get("Retry-After"), c.retryAfter)
		})
	}
}

func TestFromKeepsTypedErrors(t *testing.T) {
	is := is.New(t)
	inner := New(NoNode, "none")
	is.Equal(From(fmt.Errorf("outer: %w", inner)), inner)
	is.Equal(From(errors.New("plain")).Code, Internal)
}
