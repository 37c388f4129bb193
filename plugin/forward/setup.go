// Package forward hands calls to the back end beside the node.
package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/wire"
)

const name = "forward"

func init() { kernel.Register(name, kernel.StageTraffic, setup) }

func setup(process *kernel.Process) error {
	if !process.IsNode() {
		return nil
	}
	f := &forward{
		process: process,
		transmitter: kernel.NewTransmitter(kernel.TransmitterConfig{
			DialTimeout: time.Second,
			MaximumIdle: 64,
			IdleTimeout: 15 * time.Second,
			Refused:     result.BackendUnreachable,
		}),
	}
	process.UseInbound(name, func(kernel.Handler) kernel.Handler { return kernel.HandlerFunc(f.handle) })
	if process.BackEnd == nil {
		process.OnStart(f.watch)
	}
	return nil
}

// forward is the way to one back end.
type forward struct {
	process     *kernel.Process
	transmitter *kernel.Transmitter
	down        atomic.Bool
	draining    atomic.Bool
}

// handle sends the call to the back end.
func (f *forward) handle(call *kernel.Call) (*kernel.Answer, error) {
	call.Header.Set(wire.HeaderContext, call.Execution.Token)
	expected, err := f.expect(call)
	if err != nil {
		return nil, err
	}
	left := call.Deadline.Left()
	if left <= 0 {
		return nil, result.New(result.DeadlineTooShort, "the time of the request ran out while it was on its way to the back end")
	}
	f.process.Dialect.WriteRemaining(call.Header, left)
	response, err := f.transmitter.Send(call.Context, call, f.process.Settings.Backend, call.Header)
	if err != nil {
		if result.From(err).Code == result.BackendUnreachable {
			f.unreachable()
		}
		return nil, err
	}
	f.reachable()
	if err := f.checkAnswer(call, response, expected); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	if echo := response.Header.Get(wire.HeaderContext); echo != "" && echo != call.Execution.Token {
		f.process.Log.Emit(event.AnswerMismatch, "backend", f.process.Settings.Backend)
		_ = response.Body.Close() // unread, so that the connection is closed
		return nil, result.New(result.AnswerMismatch, "the back end answered another request")
	}
	f.noteLoad(response.Header)
	// What a back end says about outcomes inside the mesh does not count: it
	// may pass on the refusal of a call of its own, and it did run itself.
	wire.RemoveInternal(response.Header)
	return &kernel.Answer{Response: response}, nil
}

// noteLoad takes what the back end tells of its load.
func (f *forward) noteLoad(header http.Header) {
	if f.process.Dialect.ReadLoad == nil {
		return
	}
	load, err := f.process.Dialect.ReadLoad(header)
	if err != nil {
		f.process.Counters.LoadsNotUnderstood.Add(1)
		f.process.Log.Emit(event.LoadNotUnderstood, "backend", f.process.Settings.Backend, "error", err)
		return
	}
	if load != nil {
		f.process.BackEndLoad.Store(&kernel.ToldLoad{BackEndLoad: *load, At: time.Now()})
	}
}

// expect names the incarnation that may run the call. It is looked up once more
// here, since the back end may have left while the call waited for a place.
func (f *forward) expect(call *kernel.Call) (instance string, err error) {
	if f.process.BackEnd == nil {
		return "", nil
	}
	state := f.process.BackEnd.State()
	if !state.Open(clock.Now().Time()) {
		return "", result.New(result.BackendLeft, "the back end %q left while the request waited", state.ID)
	}
	if header := f.process.Dialect.ExpectInstance; header != "" {
		call.Header.Set(header, state.ID)
	}
	call.Instance = state.ID
	return state.ID, nil
}

// checkAnswer returns an error for an answer that is not one to the call, and
// for a promise of the back end that it did not run it.
func (f *forward) checkAnswer(call *kernel.Call, response *http.Response, expected string) error {
	dialect := &f.process.Dialect
	if dialect.HasRequestID() && call.RequestID != "" && response.Header.Get(dialect.RequestID) != call.RequestID {
		f.process.Log.Emit(event.AnswerMismatch, "backend", f.process.Settings.Backend, "request", call.RequestID,
			"answered", response.Header.Get(dialect.RequestID))
		return result.New(result.AnswerMismatch, "the back end answered another request")
	}
	if !dialect.IsNotRun(response) {
		return nil
	}
	if response.StatusCode == http.StatusMisdirectedRequest && f.process.BackEnd != nil {
		f.process.BackEnd.Found(expected, response.Header.Get(dialect.Instance))
	}
	return result.New(result.BackendRefused, "the back end refused with status %d", response.StatusCode).WithRetryAfter(refusedRetryAfter)
}

// refusedRetryAfter is the time after which a caller may ask again that a back
// end refused.
const refusedRetryAfter = time.Second

func (f *forward) unreachable() {
	if f.process.BackEnd != nil {
		f.process.BackEnd.Unreachable()
		return
	}
	f.setDown(true)
}

func (f *forward) reachable() {
	if f.process.BackEnd == nil {
		f.setDown(false)
	}
}

// setDown announces that the back end refuses connections, or no longer does.
func (f *forward) setDown(down bool) {
	if f.down.Swap(down) == down {
		return
	}
	number := event.BackendUp
	if down {
		number = event.BackendDown
	}
	f.process.Log.Emit(number, "backend", f.process.Settings.Backend)
	f.announce()
}

func (f *forward) announce() {
	f.process.Loop.Post(func(time.Time) {
		leaving := f.process.Leaving() || f.draining.Load()
		f.process.Mesh.SetState(leaving, f.down.Load())
	})
}

// Intervals of the watch on the back end.
const (
	watchInterval = 500 * time.Millisecond
	watchTimeout  = time.Second
)

// watch looks after the back end: a connection tells whether it is there, and
// the health path, when there is one, whether it is draining. No other answer
// of the health path counts.
func (f *forward) watch(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	client := &http.Client{Timeout: watchTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		f.setDown(!f.connects(ctx))
		if path := f.process.Settings.BackendHealthPath; path != "" {
			f.setDraining(f.saysDraining(ctx, client, path))
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			f.transmitter.Close()
			return
		}
	}
}

func (f *forward) connects(ctx context.Context) bool {
	dialer := net.Dialer{Timeout: watchTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", f.process.Settings.Backend)
	if err != nil {
		return ctx.Err() != nil
	}
	_ = conn.Close()
	return true
}

// drainingWord is what a back end says on its health path while it leaves.
const drainingWord = "draining"

func (f *forward) saysDraining(ctx context.Context, client *http.Client, path string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.process.Settings.Backend+path, nil)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return f.draining.Load() // nothing new is known
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
	return response.StatusCode == http.StatusServiceUnavailable && strings.Contains(string(body), drainingWord)
}

func (f *forward) setDraining(draining bool) {
	if f.draining.Swap(draining) == draining {
		return
	}
	if draining {
		f.process.Log.Emit(event.BackendDraining, "backend", f.process.Settings.Backend)
	}
	f.announce()
}
