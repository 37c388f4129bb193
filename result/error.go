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

// Error is the error type of loomcleat. It carries a result code, a human-readable
// message and, for refusals, the time after which the caller may retry.
type Error struct {
	Code       Code
	Message    string
	RetryAfter time.Duration // 0 for no Retry-After header
	// FractionalRetryAfter is true when the caller understands fractions of a second in
	// the Retry-After header. Other callers get whole seconds, as HTTP requires.
	FractionalRetryAfter bool
	Cause                error // nil when there is none
	// Ran is true when an earlier attempt of the same request may have run. The error is
	// then never reported as not-run, whatever its code.
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

// WithRetryAfter sets e.RetryAfter to the result of RetryAfter for the computed wait, 0
// when none was computed. It returns e.
func (e *Error) WithRetryAfter(computed time.Duration) *Error {
	e.RetryAfter = RetryAfter(e.Code, computed)
	return e
}

// WithUsualRetryAfter sets e.RetryAfter to the usual wait of its code. It returns e.
func (e *Error) WithUsualRetryAfter() *Error { return e.WithRetryAfter(0) }

// Error implements error.
func (e *Error) Error() string {
	text := fmt.Sprintf("%d %s: %s", int(e.Code), e.Code.Definition().Name, e.Message)
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause for errors.Is and errors.As.
func (e *Error) Unwrap() error { return e.Cause }

// NotRun reports whether the request certainly did not run anywhere.
func (e *Error) NotRun() bool {
	return e.Code.Definition().NotRun && !e.Ran
}

// From returns the *Error in the chain of err. Other errors are wrapped as Internal.
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

// Outcome returns OutcomeNotRun or OutcomeUnknown, the value of HeaderOutcome for e.
func (e *Error) Outcome() string {
	if e.NotRun() {
		return OutcomeNotRun
	}
	return OutcomeUnknown
}

// Status returns the HTTP status for e. It is 502 instead of the 5xx status of a not-run
// code when an earlier attempt may have run.
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

// WriteHTTP writes e as an HTTP response: the status, the code and outcome headers,
// Retry-After and a JSON Body.
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

// retryAfterText returns the value of the Retry-After header: whole seconds, rounded up, or
// seconds with three decimals when FractionalRetryAfter is set.
func (e *Error) retryAfterText() string {
	seconds := e.RetryAfter.Seconds()
	if e.FractionalRetryAfter {
		return strconv.FormatFloat(seconds, 'f', 3, 64)
	}
	return strconv.Itoa(int(math.Ceil(seconds)))
}
