package kernel

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/settings"
	"github.com/loomcleat/loomcleat/wire"
)

// TestEarlyRefusalNamesItsAttempt guards against a refusal by a process that has just started, or serves
// another service, which its caller takes for the answer to another request that may have run.
func TestEarlyRefusalNamesItsAttempt(t *testing.T) {
	cases := []struct {
		name, service string
		code          string
	}{
		{"not ready", "s", "2008"},
		{"another service", "other", "2011"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := settings.Default(settings.RoleNode)
			s.Service = "s"
			process := newProcess(Options{Settings: s, Log: event.Discard()})
			request := httptest.NewRequest(http.MethodGet, "/", nil)
			sent := wire.CallContext{Service: c.service, Request: "r", Attempt: "a-1", RetryAllowance: 3}
			sent.Write(request.Header)
			recorder := httptest.NewRecorder()
			process.serveInbound(recorder, request)
			is.Equal(recorder.Header().Get(result.HeaderCode), c.code)
			is.Equal(recorder.Header().Get(result.HeaderOutcome), result.OutcomeNotRun)
			report := wire.ReadReport(recorder.Header())
			is.Equal(report.Attempt, "a-1")
			is.Equal(report.UnusedRetries, 3) // nothing was done for the call
		})
	}
}
