package kernel

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/result"
)

// logFailure logs a request that ended without an answer from a back end, with the
// result code and the policy revision in force. Successful requests are only counted
// in the metrics.
func (p *Process) logFailure(r *http.Request, call *Call, direction string, err error, taken time.Duration) {
	typed := result.From(err)
	number := event.RequestFailed
	if typed.NotRun() {
		number = event.RequestRefused
	}
	pairs := []any{
		"direction", direction,
		"code", int(typed.Code),
		"reason", typed.Code.Definition().Name,
		"detail", typed.Message,
		"cause", causeOf(typed),
		"outcome", typed.Outcome(),
		"revision", p.Policy.Load().Revision(),
		"taken_ms", taken.Milliseconds(),
	}
	if call != nil {
		pairs = append(pairs, callPairs(call)...)
	} else {
		pairs = append(pairs, "request", r.Header.Get(p.Dialect.RequestID), "host", r.Host, "path", r.URL.EscapedPath())
	}
	p.Log.Emit(number, pairs...)
}

// maximumCause bounds the cause of an error in a log line, in bytes: it may quote what another
// process sent.
const maximumCause = 200

// causeOf returns the cause of an error for a log line, "" if there is none.
func causeOf(err *result.Error) string {
	if err.Cause == nil {
		return ""
	}
	return bounded(err.Cause.Error())
}

// bounded returns the beginning of a text for a log line.
func bounded(text string) string { return text[:min(len(text), maximumCause)] }

// logBrokenOff logs an answer that broke off after its head had been passed on, unless the caller
// is the reason. err is the error of writeAnswer.
func (p *Process) logBrokenOff(call *Call, direction string, err error, taken time.Duration) {
	var broken *brokenOffError
	if !errors.As(err, &broken) || context.Cause(call.Context) == context.Canceled {
		return
	}
	pairs := append([]any{"direction", direction, "cause", bounded(broken.cause.Error()), "taken_ms", taken.Milliseconds()}, callPairs(call)...)
	p.Log.Emit(event.AnswerBrokenOff, pairs...)
}

// logFailureAnswer logs a request that a back end answered with a status of 500 or
// more.
func (p *Process) logFailureAnswer(call *Call, direction string, answer *Answer, taken time.Duration) {
	if answer.StatusCode < http.StatusInternalServerError {
		return
	}
	pairs := append([]any{"direction", direction, "status", answer.StatusCode, "taken_ms", taken.Milliseconds()}, callPairs(call)...)
	p.Log.Emit(event.AnsweredWithFailure, pairs...)
}

// callPairs returns the key-value pairs that describe a call in log lines.
func callPairs(call *Call) []any {
	pairs := []any{
		"request", call.RequestID,
		"user_request", call.UserRequest,
		"tenant", call.Tenant,
		"service", call.Service,
		"path", call.Policy.Path,
		"hops", call.Hops,
		"priority", call.Priority,
		"left_ms", call.Deadline.Left().Milliseconds(),
		"pressure", call.Pressure,
		"tried", call.TriedNodes,
		"signature", call.Signature().String(),
	}
	if call.Inbound {
		pairs = append(pairs, "instance", call.Incarnation)
	}
	if call.Execution != nil && !call.Inbound {
		pairs = append(pairs, "parent", call.Execution.RequestID)
	}
	return pairs
}

// LogRetry logs an attempt that will be followed by another one. err is the error of
// the attempt, nil when the attempt got an answer.
func (p *Process) LogRetry(call *Call, err error) {
	pairs := callPairs(call)
	if err != nil {
		typed := result.From(err)
		pairs = append(pairs, "code", int(typed.Code), "reason", typed.Code.Definition().Name, "detail", typed.Message,
			"cause", causeOf(typed))
	}
	p.Log.Emit(event.AttemptRepeated, pairs...)
}
