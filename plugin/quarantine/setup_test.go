package quarantine

import (
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/instance"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/membership"
	"github.com/loomcleat/loomcleat/quarantine"
	"github.com/loomcleat/loomcleat/result"
)

// newPlugin returns the plug-in of a node without peers.
func newPlugin() *plugin {
	process := &kernel.Process{ID: "self", Log: event.Discard()}
	process.Members.Store(&[]membership.Member{})
	return &plugin{
		process:  process,
		ledger:   quarantine.NewLedger(quarantine.Config{}),
		checkDue: make(chan struct{}, 1),
		saveDue:  make(chan struct{}, 1),
	}
}

func newCall(path, incarnation string) *kernel.Call {
	return &kernel.Call{Method: http.MethodGet, Host: "shop.example", URL: &url.URL{Path: path}, Incarnation: incarnation}
}

// newCrash returns a crash with one request in flight.
func newCrash(id string, call *kernel.Call) quarantine.CrashReport {
	return quarantine.CrashReport{ID: id, Suspects: []quarantine.Signature{call.Signature()}}
}

// TestQuarantineStoredAfterReportedCrash guards against a quarantined request that is missing
// in the store. If two back ends crash at once, as the second and third of a request, each
// node gets the crash that completes the quarantine from the other one and must still store it.
func TestQuarantineStoredAfterReportedCrash(t *testing.T) {
	is := is.New(t)
	p, call := newPlugin(), newCall("/x", "mine")
	p.mergeReports(clock.Now().Time(), []quarantine.CrashReport{newCrash("first", call)}, "peer")
	is.Equal(p.recordFailure(call, result.New(result.ConnectionLost, "broken")).(*result.Error).Code, result.ConnectionLost)
	p.recordCrash("mine", "replaced")
	is.Equal(len(p.saveDue), 0) // Only two crashes are known.
	p.mergeReports(clock.Now().Time(), []quarantine.CrashReport{newCrash("theirs", call)}, "peer")
	is.Equal(len(p.saveDue), 1)

	// A node whose back end did not crash under the request writes nothing.
	bystander := newPlugin()
	bystander.mergeReports(clock.Now().Time(), []quarantine.CrashReport{newCrash("a", call), newCrash("b", call), newCrash("c", call)}, "peer")
	is.Equal(len(bystander.saveDue), 0)
}

// TestMiddleware guards the results of attempts before and after a request is quarantined,
// and the clearing of a suspicion by a complete answer.
func TestMiddleware(t *testing.T) {
	is := is.New(t)
	p, call := newPlugin(), newCall("/x", "mine")
	calls := 0
	var failure error
	handler := p.middleware(kernel.HandlerFunc(func(*kernel.Call) (*kernel.Answer, error) {
		calls++
		if failure != nil {
			return nil, failure
		}
		return &kernel.Answer{Response: &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader("whole"))}}, nil
	}))
	codeOf := func(call *kernel.Call) result.Code {
		_, err := handler.Handle(call)
		return result.From(err).Code
	}

	// The attempt that may have caused the third crash gets a result that is not retried.
	failure = result.New(result.ConnectionLost, "broken")
	p.mergeReports(clock.Now().Time(), []quarantine.CrashReport{newCrash("a", call)}, "peer")
	is.Equal(codeOf(call), result.ConnectionLost)
	p.mergeReports(clock.Now().Time(), []quarantine.CrashReport{newCrash("b", call)}, "peer")
	is.Equal(codeOf(call), result.CrashSuspected)
	is.True(!result.From(failure).NotRun())

	// After the third crash the request is refused without being run.
	p.recordCrash("mine", "refuses-connections")
	before := calls
	_, err := handler.Handle(call)
	is.Equal(result.From(err).Code, result.RequestQuarantined)
	is.True(result.From(err).NotRun())
	is.True(result.From(err).RetryAfter > 0)
	is.Equal(calls, before)

	// Another request is admitted, and its complete answer clears the suspicion against it.
	failure = nil
	other := newCall("/y", "mine")
	p.mergeReports(clock.Now().Time(), []quarantine.CrashReport{newCrash("a", other), newCrash("b", other)}, "peer")
	answer, err := handler.Handle(other)
	is.NoErr(err)
	is.Equal(len(p.ledger.SuspectedOf(other.Signature())), 2) // The answer has not been read yet.
	_, err = io.ReadAll(answer.Body)
	is.NoErr(err)
	is.Equal(len(p.ledger.SuspectedOf(other.Signature())), 0)
}

// brokenBody is a body whose connection breaks.
type brokenBody struct{}

func (brokenBody) Read([]byte) (int, error) { return 0, errors.New("reset") }
func (brokenBody) Close() error             { return nil }

// TestBrokenAnswerStartsCrashCheck guards against a crash in the middle of an answer that
// goes undetected.
func TestBrokenAnswerStartsCrashCheck(t *testing.T) {
	is := is.New(t)
	p, call := newPlugin(), newCall("/x", "mine")
	call.Context = t.Context()
	handler := p.middleware(kernel.HandlerFunc(func(*kernel.Call) (*kernel.Answer, error) {
		return &kernel.Answer{Response: &http.Response{StatusCode: http.StatusOK, Body: brokenBody{}}}, nil
	}))
	answer, err := handler.Handle(call)
	is.NoErr(err)
	_, _ = io.ReadAll(answer.Body)
	_ = answer.Body.Close()
	is.Equal(len(p.checkDue), 1)
	is.Equal(p.unanswered.Suspects("mine"), []quarantine.Signature{call.Signature()})
}

// leavingBackEnd is a back end that has announced that it leaves.
type leavingBackEnd struct{ kernel.BackEnd }

func (leavingBackEnd) State() instance.State { return instance.State{ID: "mine", Leaving: true} }

// TestGracefulStopIsNoCrash guards against counting a back end as crashed that breaks a
// connection, announces that it leaves, and is replaced.
func TestGracefulStopIsNoCrash(t *testing.T) {
	is := is.New(t)
	p, call := newPlugin(), newCall("/x", "mine")
	_ = p.recordFailure(call, result.New(result.ConnectionLost, "broken"))
	p.process.BackEnd = leavingBackEnd{}
	is.True(!p.stepCheck(t.Context(), clock.Now().Time()))
	is.Equal(p.check, crashCheck{}) // The next incarnation must not count as evidence of a crash.
	is.Equal(p.crashCount.Load(), int64(0))
}

// TestDigestIncludesClearedRequests guards against a digest without cleared requests: a
// process that still suspects them would not fetch the clearing.
func TestDigestIncludesClearedRequests(t *testing.T) {
	is := is.New(t)
	p, call := newPlugin(), newCall("/x", "mine")
	p.mergeReports(clock.Now().Time(), []quarantine.CrashReport{newCrash("a", call)}, "peer")
	before := p.Digest()
	p.clearSuspicion(call.Signature())
	is.True(!p.hasSuspects.Load())
	is.True(p.Digest() != 0)
	is.True(p.Digest() != before)
}

// TestRefusalsCauseNoSuspicion guards against suspecting a request that certainly did not run,
// or one that got the answer to another request.
func TestRefusalsCauseNoSuspicion(t *testing.T) {
	is := is.New(t)
	p, call := newPlugin(), newCall("/x", "mine")
	for _, code := range []result.Code{result.BackendRefused, result.BackendUnreachable, result.BackendLeft, result.CallerGone, result.AnswerMismatch} {
		is.Equal(result.From(p.recordFailure(call, result.New(code, "no"))).Code, code)
	}
	is.Equal(len(p.unanswered.Suspects("mine")), 0)
}

// TestInvalidAnswerIsCheckedForCrash guards against a back end that sends invalid bytes as it crashes,
// so that its crash is not found, and against calling every invalid answer a crash.
func TestInvalidAnswerIsCheckedForCrash(t *testing.T) {
	is := is.New(t)
	p, call := newPlugin(), newCall("/x", "mine")
	invalid := result.New(result.AnswerInvalid, "status 000")
	is.Equal(result.From(p.recordFailure(call, invalid)).Code, result.AnswerInvalid)
	is.Equal(p.check.incarnation, "mine")
	is.Equal(len(p.unanswered.Suspects("mine")), 1)
	is.Equal(p.crashCount.Load(), int64(0))
	p.mergeReports(clock.Now().Time(), []quarantine.CrashReport{newCrash("a", call), newCrash("b", call)}, "peer")
	is.Equal(result.From(p.recordFailure(call, invalid)).Code, result.CrashSuspected)
}
