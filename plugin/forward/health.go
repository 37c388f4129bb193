package forward

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/transport/checkedconn"
	"github.com/loomcleat/loomcleat/transport/responsecheck"
)

// recordUnreachable records that no connection to the back end could be opened.
func (f *forwarder) recordUnreachable() {
	if f.process.BackEnd != nil {
		f.process.BackEnd.RecordUnreachable()
		return
	}
	f.setDown(true)
}

// recordReachable records that the back end has answered.
func (f *forwarder) recordReachable() {
	if f.process.BackEnd == nil {
		f.setDown(false)
	}
}

// setDown logs and announces a change in whether the back end refuses connections.
func (f *forwarder) setDown(down bool) {
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

// announce announces to peers whether calls may be sent to the back end.
func (f *forwarder) announce() {
	f.process.Loop.Post(func(time.Time) {
		leaving := f.process.Leaving() || f.draining.Load()
		f.process.Mesh.SetState(leaving, f.down.Load())
	})
}

// Timing of the health checks of the back end.
const (
	healthInterval = 500 * time.Millisecond
	healthTimeout  = time.Second
)

// pollHealth polls the health of the back end until ctx ends. A back end that accepts connections
// is up. The health path, if one is set, only shows whether the back end is draining.
func (f *forwarder) pollHealth(ctx context.Context) {
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	client := newHealthClient()
	for {
		f.setDown(!f.acceptsConnection(ctx))
		if path := f.process.Settings.BackendHealthPath; path != "" {
			f.setDraining(f.reportsDraining(ctx, client, path))
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			f.transmitter.Close()
			return
		}
	}
}

// newHealthClient returns a client that requests the health path, on a connection of its own each time.
func newHealthClient() *http.Client {
	dial := checkedconn.Dial((&net.Dialer{Timeout: healthTimeout}).DialContext)
	return &http.Client{Timeout: healthTimeout, Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}
}

// acceptsConnection reports whether the back end accepts a connection. If ctx has ended, it reports
// true: the failure then doesn't show that the back end is down.
func (f *forwarder) acceptsConnection(ctx context.Context) bool {
	dialer := net.Dialer{Timeout: healthTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", f.process.Settings.Backend)
	if err != nil {
		return ctx.Err() != nil
	}
	_ = conn.Close()
	return true
}

// maximumHealthBody bounds how much of a health response is read, in bytes.
const maximumHealthBody = 1 << 10

// drainingWord is contained in the health response of a back end that is draining.
const drainingWord = "draining"

// reportsDraining requests the health path and reports whether the back end is draining. If the
// response is truncated, the part received counts. While the back end takes no more requests a
// second, the last known state is kept.
func (f *forwarder) reportsDraining(ctx context.Context, client *http.Client, path string) bool {
	sentAt := time.Now()
	if !f.process.RateLimit.Take(sentAt) {
		return f.draining.Load()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.process.Settings.Backend+path, nil)
	if err != nil {
		return false // the health path in the settings is invalid
	}
	response, err := client.Do(request)
	if err != nil {
		f.logInvalidHealth(err)
		return f.draining.Load() // no response: keep the last known state
	}
	defer response.Body.Close()
	f.recordRateLimit(response.Header, sentAt, "")
	if isLeaving := f.process.Dialect.IsLeaving; isLeaving != nil && isLeaving(response.Header) {
		return true
	}
	body, _ := io.ReadAll(io.LimitReader(response.Body, maximumHealthBody))
	return response.StatusCode == http.StatusServiceUnavailable && strings.Contains(string(body), drainingWord)
}

// logInvalidHealth logs an error of a health request if the back end has sent an invalid response. Other
// errors are those of a back end that is down or slow, which setDown logs.
func (f *forwarder) logInvalidHealth(err error) {
	var invalid *responsecheck.Error
	if errors.As(err, &invalid) {
		f.process.Log.Emit(event.HealthAnswerInvalid, "backend", f.process.Settings.Backend, "error", invalid)
	}
}

func (f *forwarder) setDraining(draining bool) {
	if f.draining.Swap(draining) == draining {
		return
	}
	if draining {
		f.process.Log.Emit(event.BackendDraining, "backend", f.process.Settings.Backend)
	}
	f.announce()
}
