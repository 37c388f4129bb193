package forward

import (
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/clock/clocktest"
	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/instance"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/settings"
	"github.com/loomcleat/loomcleat/wire"
)

// stubBackEnd is a back end with a fixed state.
type stubBackEnd struct {
	kernel.BackEnd
	state instance.State
}

func (b stubBackEnd) State() instance.State { return b.state }

// TestDeadlineAfterSuspension guards against sending requests to the back end after their deadline,
// or after the back end has left, because the monotonic clock stops while the machine is suspended.
func TestDeadlineAfterSuspension(t *testing.T) {
	cases := []struct {
		name string
		left time.Duration
		// Time until the back end takes no more requests, 0 if it does not leave.
		closes    time.Duration
		suspended time.Duration
		// 0 if the request reaches the back end.
		code result.Code
	}{
		{"no suspension", 2 * time.Second, 0, 0, 0},
		{"short suspension", 2 * time.Second, 0, 500 * time.Millisecond, 0},
		{"deadline passed", 2 * time.Second, 0, 30 * time.Second, result.DeadlineTooShort},
		{"back end leaving", time.Minute, 2 * time.Second, 0, 0},
		{"back end left during the suspension", time.Minute, 2 * time.Second, 30 * time.Second, result.BackendLeft},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			remaining := make(chan string, 1)
			arrived := atomic.Int64{}
			backend := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				arrived.Add(1)
				remaining <- r.Header.Get("Time-Left")
			}))
			defer backend.Close()
			suspended := time.Duration(0)
			origin, started := clock.Now(), time.Now()
			defer clocktest.Replace(func() clock.Instant { return origin.Add(time.Since(started) + suspended) })()

			state := instance.State{ID: "i"}
			if c.closes > 0 {
				state.Leaving, state.ClosesAt = true, clock.Now().Add(c.closes).Time()
			}
			f := &forwarder{
				process: &kernel.Process{
					Log:      event.Discard(),
					Settings: settings.Settings{Backend: strings.TrimPrefix(backend.URL, "http://")},
					Dialect:  wire.Dialect{Remaining: "Time-Left"},
					BackEnd:  stubBackEnd{state: state},
				},
				transmitter: kernel.NewTransmitter(kernel.TransmitterConfig{Refused: result.BackendUnreachable}),
			}
			call := &kernel.Call{
				Context:   t.Context(),
				Method:    http.MethodGet,
				URL:       &url.URL{Path: "/"},
				Header:    http.Header{},
				Body:      kernel.NewBufferedBody(nil),
				Deadline:  clock.Now().Add(c.left),
				Execution: &kernel.Execution{},
			}
			suspended = c.suspended
			answer, err := f.handle(call)
			if c.code != 0 {
				is.Equal(result.From(err).Code, c.code)
				is.True(result.From(err).NotRun())
				is.Equal(arrived.Load(), int64(0))
				return
			}
			is.NoErr(err)
			_ = answer.Body.Close()
			left, err := time.ParseDuration(<-remaining + "ms")
			is.NoErr(err)
			is.True(left <= c.left-c.suspended)
		})
	}
}
