package kernel

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/policy"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/retrybudget"
	"github.com/loomcleat/loomcleat/settings"
	"github.com/loomcleat/loomcleat/wire"
)

// entryProcess returns a ready process with one route and one execution in progress.
func entryProcess() *Process {
	p := &Process{Settings: settings.Default(settings.RoleNode), Log: event.Discard(), executions: newExecutionTable("p")}
	p.Settings.Service = "own"
	p.Dialect = wire.Dialect{
		RequestID:     "Name",
		Remaining:     "Left",
		CallerService: "From",
		ParentID: func(id string) (string, bool) {
			parent, _, found := strings.Cut(id, "/")
			return parent, found
		},
	}
	p.Policy.Store(policy.NewIndex(&policy.Document{Routes: []policy.Route{{
		Name: "r", Host: "a.example", PathPrefix: "/a/", MaximumAttempts: 2, Class: policy.Default,
		Timeout: policy.Duration(2 * time.Second), Split: []policy.SplitPart{{Service: "s", Weight: 1}},
	}}}))
	p.ready.Store(true)
	p.executions.add(&Execution{
		RequestID: "parent", UserRequest: "user", Priority: 900, IsRetry: true, Hops: 1,
		Budget: retrybudget.Open(1), Deadline: clock.Now().Add(time.Second),
	})
	return p
}

func entryRequest(path, name, left string) *http.Request {
	r := httptest.NewRequest(http.MethodGet, path, nil)
	r.Host = "a.example:80"
	r.Header.Set("Name", name)
	r.Header.Set("Left", left)
	r.Header.Set("From", "forged")
	r.Header.Set(wire.HeaderCall, "priority=1023")
	return r
}

// TestEntryCallFromOutside guards against trusting internal headers of an external caller,
// and against a deadline later than that of the caller or of the route.
func TestEntryCallFromOutside(t *testing.T) {
	is := is.New(t)
	call, err := entryProcess().entryCall(entryRequest("/a/x", "first", "500"))
	is.NoErr(err)
	is.Equal(call.Service, "s")
	is.True(call.External && call.Routed && !call.HasUpstreamWork())
	is.True(call.Deadline.Left() <= 500*time.Millisecond) // the caller's time left, shorter than the route's timeout
	is.Equal(call.CallerTimeout, 500*time.Millisecond)
	is.Equal(call.Header.Get("From"), "own")         // the caller's value is replaced
	is.Equal(call.Header.Get(wire.HeaderCall), "")   // internal headers are removed
	is.Equal(call.Priority/256, int(policy.Default)) // the route's class
	call, err = entryProcess().entryCall(entryRequest("/a/x", "first", "60000"))
	is.NoErr(err)
	is.True(call.Deadline.Left() <= 2*time.Second) // the route's timeout
}

// TestEntryCallJoinsItsParent guards against treating a call of the back end as a new user
// request.
func TestEntryCallJoinsItsParent(t *testing.T) {
	is := is.New(t)
	call, err := entryProcess().entryCall(entryRequest("/a/x", "parent/1", "5000"))
	is.NoErr(err)
	is.True(!call.External && call.HasUpstreamWork() && call.IsRetry)
	is.Equal(call.UserRequest, "user")
	is.Equal(call.Priority, 900)
	is.Equal(call.Hops, 2)
	is.True(call.Deadline.Left() <= time.Second) // bounded by the deadline of its parent

	call, err = entryProcess().entryCall(entryRequest("/a/x", "unknown/1", "5000"))
	is.NoErr(err)
	is.True(call.External) // an unknown parent is ignored
}

// documentsStub is a Documents that knows the newest revision of the policy.
type documentsStub struct {
	Documents
	newest uint64
	// Called before MayBeOutdated returns, if set.
	before func()
}

func (d documentsStub) MayBeOutdated(revision uint64) bool {
	if d.before != nil {
		d.before()
	}
	return revision < d.newest
}

// TestEntryRefusals guards against refusing a request as unroutable before the routes are
// known, or while a newer policy may have a route.
func TestEntryRefusals(t *testing.T) {
	is := is.New(t)
	p := entryProcess()
	p.Documents = documentsStub{}
	_, err := p.entryCall(entryRequest("/b/x", "first", "500"))
	is.Equal(result.From(err).Code, result.NoRoute)
	p.Documents = documentsStub{newest: p.Policy.Load().Revision() + 1}
	_, err = p.entryCall(entryRequest("/b/x", "first", "500"))
	is.Equal(result.From(err).Code, result.PolicyOutdated)
	is.Equal(result.From(err).Status(), http.StatusServiceUnavailable)
	is.True(result.From(err).RetryAfter > 0)
	p.Documents = documentsStub{newest: 1000, before: func() { p.Policy.Store(policy.NewIndex(&policy.Document{Revision: 1000})) }}
	_, err = p.entryCall(entryRequest("/b/x", "first", "500"))
	is.Equal(result.From(err).Code, result.PolicyOutdated) // a newer policy has come into force just then
	p.ready.Store(false)
	_, err = p.entryCall(entryRequest("/b/x", "first", "500"))
	is.Equal(result.From(err).Code, result.NotReady) // never 404 before the policy is known
	is.Equal(result.From(err).Status(), http.StatusServiceUnavailable)
	is.True(result.From(err).RetryAfter > 0)
}

// slowBody takes a time to arrive.
type slowBody struct {
	io.Reader
	takes time.Duration
}

func (b *slowBody) Read(data []byte) (int, error) {
	time.Sleep(b.takes)
	b.takes = 0
	return b.Reader.Read(data)
}

// TestDeadlineCountsFromHead guards against a back end that gets more time than the caller has left, since the
// body of the request took long to arrive.
func TestDeadlineCountsFromHead(t *testing.T) {
	is := is.New(t)
	const left, takes = 500 * time.Millisecond, 50 * time.Millisecond
	request := entryRequest("/a/x", "first", "500")
	request.Method, request.ContentLength = http.MethodPost, 4
	request.Body = io.NopCloser(&slowBody{Reader: strings.NewReader("body"), takes: takes})
	call, err := entryProcess().entryCall(request)
	is.NoErr(err)
	is.True(call.Deadline.Left() <= left-takes)
}
