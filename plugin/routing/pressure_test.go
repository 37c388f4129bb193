package routing

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/balance"
	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/policy"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/retrybudget"
)

// TestATimeoutIsPressure: nobody answers, so that nobody tells of any pressure.
// A gate that took this for none would open under overload.
func TestATimeoutIsPressure(t *testing.T) {
	is := is.New(t)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer silent.Close()
	balancer := balance.New(balance.Config{})
	balancer.Update(time.Now(), []balance.Target{{ID: "n", Address: silent.Addr().String()}})
	r := &router{
		process:     &kernel.Process{Log: event.Discard()},
		balancers:   map[string]*balance.Balancer{"s": balancer},
		transmitter: kernel.NewTransmitter(kernel.TransmitterConfig{Refused: result.NodeRefused}),
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	execution := &kernel.Execution{}
	call := &kernel.Call{
		Context:   ctx,
		Service:   "s",
		Method:    http.MethodGet,
		URL:       &url.URL{Path: "/"},
		Header:    http.Header{},
		Body:      kernel.NewBufferedBody(nil),
		Budget:    retrybudget.Open(0),
		Deadline:  time.Now().Add(50 * time.Millisecond),
		Policy:    policy.Effective{Known: true},
		Execution: execution,
	}
	_, err = r.handle(call)
	is.Equal(result.From(err).Code, result.DeadlineExceeded)
	is.True(call.Pressure > 1)
	is.True(execution.Pressure() > 1)
}
