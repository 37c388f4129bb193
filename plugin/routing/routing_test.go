package routing

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/balance"
	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/policy"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/retry"
	"github.com/loomcleat/loomcleat/retrybudget"
	"github.com/loomcleat/loomcleat/settings"
	"github.com/loomcleat/loomcleat/wire"
)

// TestTimeoutCountsAsPressure guards against gates that open under overload because a node that
// does not answer reports no pressure.
func TestTimeoutCountsAsPressure(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	r, balancer := newRouter(listener.Addr().String())
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	call := newCall(ctx)
	call.Execution = &kernel.Execution{}
	_, err = r.handle(call)
	is.Equal(result.From(err).Code, result.DeadlineExceeded)
	is.True(call.Pressure > 1)
	is.True(call.Execution.Pressure() > 1)
	is.Equal(balancer.Size(), 1)
}

// TestNoAttemptTimeoutWithSharedBudget guards against ending an attempt that the back end may be
// working on when the shared budget may have no retry for another one.
func TestNoAttemptTimeoutWithSharedBudget(t *testing.T) {
	is := is.New(t)
	addresses := []string{}
	for range 2 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	r, _ := newRouter(addresses...)
	r.process.Settings.RetryBudget.Window = settings.Duration(10 * time.Second)
	ctx, cancel := context.WithTimeout(t.Context(), retry.MinimumTimeout+200*time.Millisecond)
	defer cancel()
	call := newCall(ctx)
	call.Budget = retrybudget.Open(8)
	call.Policy.Repeatable = true
	_, err := r.handle(call)
	is.Equal(result.From(err).Code, result.DeadlineExceeded)
	is.True(ctx.Err() != nil) // the attempt lasted until the deadline of the call
}

// TestNoAttemptTimeoutWithoutAnotherAttempt guards against ending an attempt that the back end may
// be working on although the request may not be sent again.
func TestNoAttemptTimeoutWithoutAnotherAttempt(t *testing.T) {
	for name, c := range map[string]struct{ repeatable, claims, want bool }{
		"may run once":               {false, false, false},
		"may run once, with a claim": {false, true, true},
		"may run twice":              {true, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, balancer := newRouter("127.0.0.1:1", "127.0.0.1:2")
			r.process.Settings.Claims = c.claims
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			call := newCall(ctx)
			call.Budget = retrybudget.Open(8)
			call.Policy.Repeatable = c.repeatable
			a := &attempt{router: r, call: call, balancer: balancer}
			is.Equal(a.retriable(), c.want)
		})
	}
}

// newRouter returns a router with nodes of service "s" at addresses, and the balancer of "s".
func newRouter(addresses ...string) (*router, *balance.Balancer) {
	balancer := balance.New(balance.Config{})
	targets := []balance.Target{}
	for _, address := range addresses {
		targets = append(targets, balance.Target{ID: address, Address: address})
	}
	balancer.Update(time.Now().Add(-time.Minute), targets)
	return &router{
		process:     &kernel.Process{Log: event.Discard()},
		balancers:   map[string]*balance.Balancer{"s": balancer},
		transmitter: kernel.NewTransmitter(kernel.TransmitterConfig{Refused: result.NodeRefused}),
	}, balancer
}

func newCall(ctx context.Context) *kernel.Call {
	deadline, _ := ctx.Deadline()
	return &kernel.Call{
		Context:  ctx,
		Service:  "s",
		Method:   http.MethodGet,
		URL:      &url.URL{Path: "/"},
		Header:   http.Header{},
		Body:     kernel.NewBufferedBody(nil),
		Budget:   retrybudget.Open(0),
		Deadline: clock.Now().Add(time.Until(deadline)),
		Policy:   policy.Effective{Known: true},
	}
}

// TestReportedFailuresCountAgainstNode guards against preferring a node for its low latency when it
// quickly reports errors.
func TestReportedFailuresCountAgainstNode(t *testing.T) {
	for name, failure := range map[string]*result.Error{
		"lost answers": result.New(result.ConnectionLost, "test"),
		"refusals":     result.New(result.Overloaded, "test"),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var bad, good int
			badNode := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				bad++
				echoAttempt(w, r)
				failure.WriteHTTP(w)
			}))
			defer badNode.Close()
			goodNode := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				good++
				echoAttempt(w, r)
				w.WriteHeader(http.StatusOK)
			}))
			defer goodNode.Close()
			r, _ := newRouter(badNode.Listener.Addr().String(), goodNode.Listener.Addr().String())
			for range 200 {
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				answer, err := r.handle(newCall(ctx))
				if err == nil {
					discardAnswer(answer)
				}
				cancel()
			}
			is.True(bad > 0)
			is.True(good > 3*bad)
		})
	}
}

func discardAnswer(answer *kernel.Answer) {
	_, _ = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
}

// echoAttempt writes the attempt id of a request into the header of the answer, as a node does.
func echoAttempt(w http.ResponseWriter, r *http.Request) {
	received := wire.ReadCallContext(r.Header)
	report := wire.Report{Attempt: received.Attempt}
	report.Write(w.Header())
}
