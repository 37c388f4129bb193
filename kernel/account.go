package kernel

import (
	"net/http"
	"time"

	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/result"
)

// logEnd writes the line of a request that ended without the answer of a back
// end: what decided it, and how old that was. Requests that end well are
// counted in the metrics only.
func (p *Process) logEnd(r *http.Request, call *Call, direction string, err error, taken time.Duration) {
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

// logFailureAnswer writes the line of a request that a back end answered with a
// failure.
func (p *Process) logFailureAnswer(call *Call, direction string, answer *Answer, taken time.Duration) {
	if answer.StatusCode < http.StatusInternalServerError {
		return
	}
	pairs := append([]any{"direction", direction, "status", answer.StatusCode, "taken_ms", taken.Milliseconds()}, callPairs(call)...)
	p.Log.Emit(event.AnsweredWithFailure, pairs...)
}

// callPairs are what is told of a call in each line about it.
func callPairs(call *Call) []any {
	pairs := []any{
		"request", call.RequestID,
		"user_request", call.Request,
		"tenant", call.Tenant,
		"service", call.Service,
		"path", call.Policy.Path,
		"hops", call.Hops,
		"priority", call.Priority,
		"left_ms", call.Deadline.Left().Milliseconds(),
		"pressure", call.Pressure,
		"tried", call.Tried,
		"signature", call.Signature().String(),
	}
	if call.Inbound {
		pairs = append(pairs, "instance", call.Instance)
	}
	if call.Execution != nil && !call.Inbound {
		pairs = append(pairs, "parent", call.Execution.RequestID)
	}
	return pairs
}

// LogRepeat writes the line of an attempt that is followed by another one.
func (p *Process) LogRepeat(call *Call, err error) {
	pairs := callPairs(call)
	if err != nil {
		typed := result.From(err)
		pairs = append(pairs, "code", int(typed.Code), "reason", typed.Code.Definition().Name, "detail", typed.Message)
	}
	p.Log.Emit(event.AttemptRepeated, pairs...)
}
