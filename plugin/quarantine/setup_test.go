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

// newPlugin returns the plug-in of a node without peers, whose back end has names.
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

func callOf(path, instance string) *kernel.Call {
	return &kernel.Call{Method: http.MethodGet, Host: "shop.example", URL: &url.URL{Path: path}, Instance: instance}
}

// crashOf is a crash under one request.
func crashOf(id string, call *kernel.Call) quarantine.Crash {
	return quarantine.Crash{ID: id, Suspects: []quarantine.Signature{call.Signature()}}
}

// TestWhoLostABackEndWritesToTheStore
//
// Symptom: after all processes had been killed, a request that had been in quarantine
// took back ends again.
//
// Sequence: two back ends crash at the same moment, as the second and third of the request.
// Each of their nodes knows of two, and learns of the third from the other.
//
// Cause: only a node whose own report completed the number wrote to the store, and here
// that was none.
func TestWhoLostABackEndWritesToTheStore(t *testing.T) {
	is := is.New(t)
	p, call := newPlugin(), callOf("/x", "mine")
	p.learn(clock.Now().Time(), []quarantine.Crash{crashOf("first", call)}, "peer")
	is.Equal(p.recordLoss(call, result.New(result.ConnectionLost, "broken")).(*result.Error).Code, result.ConnectionLost)
	p.crashed("mine", "replaced")
	is.Equal(len(p.saveDue), 0) // two are known
	p.learn(clock.Now().Time(), []quarantine.Crash{crashOf("theirs", call)}, "peer")
	is.Equal(len(p.saveDue), 1)

	// One that has lost none to it leaves that to others.
	bystander := newPlugin()
	bystander.learn(clock.Now().Time(), []quarantine.Crash{crashOf("a", call), crashOf("b", call), crashOf("c", call)}, "peer")
	is.Equal(len(bystander.saveDue), 0)
}

func TestWhatBecomesOfAttempts(t *testing.T) {
	is := is.New(t)
	p, call := newPlugin(), callOf("/x", "mine")
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

	// The attempt that loses the third back end is told apart, so that it is not repeated.
	failure = result.New(result.ConnectionLost, "broken")
	p.learn(clock.Now().Time(), []quarantine.Crash{crashOf("a", call)}, "peer")
	is.Equal(codeOf(call), result.ConnectionLost)
	p.learn(clock.Now().Time(), []quarantine.Crash{crashOf("b", call)}, "peer")
	is.Equal(codeOf(call), result.CrashSuspected)
	is.True(!result.From(failure).NotRun())

	// Then it is refused, and has not run.
	p.crashed("mine", "refuses-connections")
	before := calls
	_, err := handler.Handle(call)
	is.Equal(result.From(err).Code, result.RequestQuarantined)
	is.True(result.From(err).NotRun())
	is.True(result.From(err).RetryAfter > 0)
	is.Equal(calls, before)

	// Another request is served, and a whole answer clears it of what it was suspected of.
	failure = nil
	other := callOf("/y", "mine")
	p.learn(clock.Now().Time(), []quarantine.Crash{crashOf("a", other), crashOf("b", other)}, "peer")
	answer, err := handler.Handle(other)
	is.NoErr(err)
	is.Equal(len(p.ledger.SuspectedOf(other.Signature())), 2) // the answer is on its way
	_, err = io.ReadAll(answer.Body)
	is.NoErr(err)
	is.Equal(len(p.ledger.SuspectedOf(other.Signature())), 0)
}

// broken is a body that ends too early.
type broken struct{}

func (broken) Read([]byte) (int, error) { return 0, errors.New("reset") }
func (broken) Close() error             { return nil }

func TestABrokenAnswerIsALoss(t *testing.T) {
	is := is.New(t)
	p, call := newPlugin(), callOf("/x", "mine")
	call.Context = t.Context()
	handler := p.middleware(kernel.HandlerFunc(func(*kernel.Call) (*kernel.Answer, error) {
		return &kernel.Answer{Response: &http.Response{StatusCode: http.StatusOK, Body: broken{}}}, nil
	}))
	answer, err := handler.Handle(call)
	is.NoErr(err)
	_, _ = io.ReadAll(answer.Body)
	_ = answer.Body.Close()
	is.Equal(len(p.checkDue), 1)
	is.Equal(p.lost.Suspects("mine"), []quarantine.Signature{call.Signature()})
}

// leavingBackEnd is a back end that has said that it leaves.
type leavingBackEnd struct{ kernel.BackEnd }

func (leavingBackEnd) State() instance.State { return instance.State{ID: "mine", Leaving: true} }

// TestAPlannedEndIsNoCrash: a back end loses a request to a broken connection, says that it
// leaves, and is replaced.
func TestAPlannedEndIsNoCrash(t *testing.T) {
	is := is.New(t)
	p, call := newPlugin(), callOf("/x", "mine")
	_ = p.recordLoss(call, result.New(result.ConnectionLost, "broken"))
	p.process.BackEnd = leavingBackEnd{}
	is.True(!p.stepCheck(t.Context(), clock.Now().Time()))
	is.Equal(p.check, crashCheck{}) // the incarnation that comes after it says nothing
	is.Equal(p.crashCount.Load(), int64(0))
}

// TestWhatWasClearedIsToldOn: a process that knows of cleared requests alone shows it, so
// that one that still holds them for suspects learns of it.
func TestWhatWasClearedIsToldOn(t *testing.T) {
	is := is.New(t)
	p, call := newPlugin(), callOf("/x", "mine")
	p.learn(clock.Now().Time(), []quarantine.Crash{crashOf("a", call)}, "peer")
	before := p.Digest()
	p.answered(call.Signature())
	is.True(!p.hasSuspects.Load())
	is.True(p.Digest() != 0)
	is.True(p.Digest() != before)
}

// TestRefusalsLeaveNoSuspicion: what certainly did not run there, and answers to other
// requests, say nothing of this one.
func TestRefusalsLeaveNoSuspicion(t *testing.T) {
	is := is.New(t)
	p, call := newPlugin(), callOf("/x", "mine")
	for _, code := range []result.Code{result.BackendRefused, result.BackendUnreachable, result.BackendLeft, result.CallerGone, result.AnswerMismatch} {
		is.Equal(result.From(p.recordLoss(call, result.New(code, "no"))).Code, code)
	}
	is.Equal(len(p.lost.Suspects("mine")), 0)
}
