package result

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Error is the error type of loomcleat. It carries a numbered code, a message
// for people and, for refusals, the time after which asking again makes sense.
type Error struct {
	Code       Code
	Message    string
	RetryAfter time.Duration // 0 when the caller is told nothing
	// FractionalRetryAfter says that the caller understands fractions of a second in
	// the Retry-After header. Others are told whole seconds, as HTTP has it.
	FractionalRetryAfter bool
	Cause                error // nil when there is none
	// Ran is true when an earlier attempt of the same request may have run, so
	// that the error must not be reported as not-run whatever its code says.
	Ran bool
}

// New returns an Error with a formatted message.
func New(code Code, format string, arguments ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, arguments...)}
}

// Wrap returns an Error that keeps cause for errors.Is and errors.As.
func Wrap(code Code, cause error, format string, arguments ...any) *Error {
	wrapped := New(code, format, arguments...)
	wrapped.Cause = cause
	return wrapped
}

// WithRetryAfter tells the caller when to ask again, from the wait that was computed for
// it; 0 when nothing is known of the moment. RetryAfter decides what it is told.
func (e *Error) WithRetryAfter(computed time.Duration) *Error {
	e.RetryAfter = RetryAfter(e.Code, computed)
	return e
}

// WithUsualRetryAfter tells the caller the usual wait of the error's code.
func (e *Error) WithUsualRetryAfter() *Error { return e.WithRetryAfter(0) }

// Error implements error.
func (e *Error) Error() string {
	text := fmt.Sprintf("%d %s: %s", int(e.Code), e.Code.Definition().Name, e.Message)
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// NotRun reports whether the request certainly did not run anywhere.
func (e *Error) NotRun() bool {
	return e.Code.Definition().NotRun && !e.Ran
}

// From converts any error to an *Error. Errors of other types become Internal.
func From(err error) *Error {
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	return Wrap(Internal, err, "unexpected error")
}

// Body is the JSON body that accompanies an error on the wire.
type Body struct {
	Code    Code   `json:"code"`
	Name    string `json:"name"`
	Message string `json:"message"`
	NotRun  bool   `json:"not_run"`
}

// Header names that accompany an error on the wire.
const (
	HeaderCode    = "Loomcleat-Result"
	HeaderOutcome = "Loomcleat-Outcome"
)

// Values of HeaderOutcome.
const (
	OutcomeNotRun  = "not-run"
	OutcomeUnknown = "unknown"
)

// Outcome returns the value of HeaderOutcome for e.
func (e *Error) Outcome() string {
	if e.NotRun() {
		return OutcomeNotRun
	}
	return OutcomeUnknown
}

// Status returns the HTTP status for e. An error whose request may have run
// never gets a status that promises that it has not.
func (e *Error) Status() int {
	status := e.Code.Definition().Status
	switch {
	case status == 0:
		return http.StatusInternalServerError
	case e.Ran && e.Code.Definition().NotRun && status >= http.StatusInternalServerError:
		return http.StatusBadGateway
	default:
		return status
	}
}

// WriteHTTP sends e as an HTTP response: numbered header, outcome header,
// Retry-After and a small JSON body.
func (e *Error) WriteHTTP(w http.ResponseWriter) {
	definition := e.Code.Definition()
	header := w.Header()
	header.Set(HeaderCode, strconv.Itoa(int(e.Code)))
	header.Set(HeaderOutcome, e.Outcome())
	header.Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		header.Set("Retry-After", e.retryAfterText())
	}
	body, err := json.Marshal(Body{Code: e.Code, Name: definition.Name, Message: e.Message, NotRun: e.NotRun()})
	if err != nil {
		body = nil
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(e.Status())
	_, _ = w.Write(body)
}

// retryAfterText returns the value of the Retry-After header: whole seconds, rounded up,
// or milliseconds as a fraction for callers that understand it.
func (e *Error) retryAfterText() string {
	seconds := e.RetryAfter.Seconds()
	if e.FractionalRetryAfter {
		return strconv.FormatFloat(seconds, 'f', 3, 64)
	}
	return strconv.Itoa(int(math.Ceil(seconds)))
}
