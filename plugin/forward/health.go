package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/loomcleat/loomcleat/event"
)

// unreachable takes note that no connection to the back end could be opened.
func (f *forward) unreachable() {
	if f.process.BackEnd != nil {
		f.process.BackEnd.Unreachable()
		return
	}
	f.setDown(true)
}

// reachable takes note that the back end has answered.
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

// announce tells the mesh whether calls may be sent to the back end.
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

// connects reports whether the back end accepts a connection. It reports true when the
// process ends meanwhile, which says nothing about the back end.
func (f *forward) connects(ctx context.Context) bool {
	dialer := net.Dialer{Timeout: watchTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", f.process.Settings.Backend)
	if err != nil {
		return ctx.Err() != nil
	}
	_ = conn.Close()
	return true
}

// maximumHealthBody bounds how much of a health answer is read, in bytes.
const maximumHealthBody = 1 << 10

// drainingWord is what a back end says on its health path while it leaves.
const drainingWord = "draining"

// saysDraining asks the health path. An answer that breaks off counts as far as it came.
func (f *forward) saysDraining(ctx context.Context, client *http.Client, path string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.process.Settings.Backend+path, nil)
	if err != nil {
		return false // the settings name a path that is none
	}
	response, err := client.Do(request)
	if err != nil {
		return f.draining.Load() // nothing new is known
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(io.LimitReader(response.Body, maximumHealthBody))
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
