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

// knownBackEnd is a back end of which a state is known.
type knownBackEnd struct {
	kernel.BackEnd
	state instance.State
}

func (b knownBackEnd) State() instance.State { return b.state }

// TestNothingIsSentTooLateAfterASuspension
//
// Symptom: after a machine was suspended, its node hands requests to the back end whose
// callers have given up, with time that they no longer have, and requests for a back end
// that should get none any more since it leaves.
//
// Sequence: a request waits beside the back end, or the back end says that it leaves; the
// machine is suspended for 30 seconds; the request goes on.
//
// Cause: the time left was measured by the steady clock, which stands still meanwhile.
func TestNothingIsSentTooLateAfterASuspension(t *testing.T) {
	cases := []struct {
		name      string
		left      time.Duration
		closes    time.Duration // 0: the back end does not leave
		suspended time.Duration
		code      result.Code // 0: the back end gets it
	}{
		{"no suspension", 2 * time.Second, 0, 0, 0},
		{"a short one", 2 * time.Second, 0, 500 * time.Millisecond, 0},
		{"the caller has given up", 2 * time.Second, 0, 30 * time.Second, result.DeadlineTooShort},
		{"the back end is leaving", time.Minute, 2 * time.Second, 0, 0},
		{"it has left meanwhile", time.Minute, 2 * time.Second, 30 * time.Second, result.BackendLeft},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			told := make(chan string, 1)
			arrived := atomic.Int64{}
			backend := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				arrived.Add(1)
				told <- r.Header.Get("Time-Left")
			}))
			defer backend.Close()
			suspended := time.Duration(0)
			origin, started := clock.Now(), time.Now()
			defer clocktest.Replace(func() clock.Instant { return origin.Add(time.Since(started) + suspended) })()

			state := instance.State{ID: "i"}
			if c.closes > 0 {
				state.Leaving, state.ClosesAt = true, clock.Now().Add(c.closes).Time()
			}
			f := &forward{
				process: &kernel.Process{
					Log:      event.Discard(),
					Settings: settings.Settings{Backend: strings.TrimPrefix(backend.URL, "http://")},
					Dialect:  wire.Dialect{Remaining: "Time-Left"},
					BackEnd:  knownBackEnd{state: state},
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
			left, err := time.ParseDuration(<-told + "ms")
			is.NoErr(err)
			is.True(left <= c.left-c.suspended)
		})
	}
}
