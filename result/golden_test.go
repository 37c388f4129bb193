package result_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/internal/golden"
	"github.com/loomcleat/loomcleat/result"
)

// TestErrorResponse guards against changes of the headers and the body of an error on the
// wire.
func TestErrorResponse(t *testing.T) {
	is := is.New(t)
	refusal := result.New(result.Overloaded, "a message").WithRetryAfter(1234 * time.Millisecond)
	refusal.FractionalRetryAfter = true
	recorder := httptest.NewRecorder()
	refusal.WriteHTTP(recorder)
	is.Equal(recorder.Code, 503)
	is.Equal(recorder.Header().Get("Loomcleat-Result"), "2001")
	is.Equal(recorder.Header().Get("Loomcleat-Outcome"), "not-run")
	is.Equal(recorder.Header().Get("Retry-After"), "1.234")
	is.Equal(recorder.Header().Get("Content-Type"), "application/json")
	is.Equal(recorder.Body.String(), `{"code":2001,"name":"overloaded","message":"a message","not_run":true}`)
	is.Equal(result.OutcomeUnknown, "unknown")
}

// TestErrorBody guards against changes of the JSON keys of Body.
func TestErrorBody(t *testing.T) { golden.Message[result.Body](t, "body.jsonl") }
