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

// TestATimeoutIsPressure: nobody answers, so that nobody tells of any pressure.
// A gate that took this for none would open under overload.
func TestATimeoutIsPressure(t *testing.T) {
	is := is.New(t)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer silent.Close()
	r, balancer := routerTo(silent.Addr().String())
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

// TestSilenceEndsNoAttemptUnderASharedBudget: the back end may be at work, and there
// may be no retry left.
func TestSilenceEndsNoAttemptUnderASharedBudget(t *testing.T) {
	is := is.New(t)
	addresses := []string{}
	for range 2 {
		silent, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		defer silent.Close()
		addresses = append(addresses, silent.Addr().String())
	}
	r, _ := routerTo(addresses...)
	r.process.Settings.RetryBudget.Window = settings.Duration(10 * time.Second)
	ctx, cancel := context.WithTimeout(t.Context(), retry.LeastTimeout+200*time.Millisecond)
	defer cancel()
	call := newCall(ctx)
	call.Budget = retrybudget.Open(8)
	call.Policy.Repeatable = true
	_, err := r.handle(call)
	is.Equal(result.From(err).Code, result.DeadlineExceeded)
	is.True(ctx.Err() != nil) // it lasted as long as the call had time
}

// routerTo returns a router that knows nodes of service "s" at addresses.
func routerTo(addresses ...string) (*router, *balance.Balancer) {
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

// TestFailuresThatANodeTellsCountAgainstIt: the answers of its back end are lost,
// which the node tells at once. That is no fast node.
func TestFailuresThatANodeTellsCountAgainstIt(t *testing.T) {
	for name, tells := range map[string]*result.Error{
		"lost answers": result.New(result.ConnectionLost, "test"),
		"refusals":     result.New(result.Overloaded, "test"),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var bad, good int
			badNode := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				bad++
				echoAttempt(w, r)
				tells.WriteHTTP(w)
			}))
			defer badNode.Close()
			goodNode := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				good++
				echoAttempt(w, r)
				w.WriteHeader(http.StatusOK)
			}))
			defer goodNode.Close()
			r, _ := routerTo(badNode.Listener.Addr().String(), goodNode.Listener.Addr().String())
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

// echoAttempt reports the attempt of a call in its answer, as a node does.
func echoAttempt(w http.ResponseWriter, r *http.Request) {
	told := wire.ReadCallContext(r.Header)
	report := wire.Report{Attempt: told.Attempt}
	report.Write(w.Header())
}
