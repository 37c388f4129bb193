package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/loomcleat/loomcleat/review/harness"
)

// client sends requests at one machine and keeps its connections.
type client struct {
	bench *bench
	at    *node
	host  string
	http  *http.Client
	sent  atomic.Int64
	name  string
}

// newClient returns a client. quiet leaves its requests out of the record.
func (b *bench) newClient(name string, at *node, host string) *client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 64,
		DisableCompression:  true,
	}
	return &client{bench: b, at: at, host: host, name: name, http: &http.Client{Transport: transport}}
}

// outcome is what a client got for a request.
type outcome struct {
	id     string
	status int // 0: no answer
	served bool
	// The answer says that the back end is leaving.
	leaving bool
}

// send sends a request and reads the whole answer.
func (c *client) send(method, path, body string, timeout time.Duration) outcome {
	return c.sendNoted(method, path, body, timeout, func(string) {})
}

// sendNoted is send with a function that gets the id of the request before it is sent.
func (c *client) sendNoted(method, path, body string, timeout time.Duration, note func(id string)) outcome {
	id := fmt.Sprintf("%s%d", c.name, c.sent.Add(1))
	note(id)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.at.address(portOutbound)+path, strings.NewReader(body))
	if err != nil {
		return outcome{id: id}
	}
	request.Host = c.host
	request.Header.Set(harness.Protocol.RequestID, id)
	request.Header.Set(harness.Protocol.Remaining, fmt.Sprint(timeout.Milliseconds()))
	response, err := c.http.Do(request)
	if err != nil {
		return outcome{id: id}
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	served := err == nil && response.StatusCode < 300 && response.Header.Get(harness.Protocol.Seal) == sealOf(id)
	return outcome{id: id, status: response.StatusCode, served: served, leaving: response.Header.Get(names.Leaving) == "1"}
}

// load sends requests at a rate until stop is called, which waits for the last ones.
func load(perSecond float64, send func(number int)) (stop func()) {
	done := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() {
		ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer ticker.Stop()
		for number := 0; ; number++ {
			select {
			case <-done:
				return
			case <-ticker.C:
				running.Go(func() { send(number) })
			}
		}
	})
	return func() {
		close(done)
		running.Wait()
	}
}
