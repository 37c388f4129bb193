package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/loomcleat/loomcleat/internal/standin/platformbackend"
	"github.com/loomcleat/loomcleat/platform"
)

// Timing of callers.
const (
	callerTimeout = 3 * time.Second
	callerPause   = 20 * time.Millisecond
	crasherPause  = 150 * time.Millisecond
)

// Kinds of requests.
var (
	lookup  = Kind{Name: "lookup", Repeatable: true} // Calls through all three services.
	payment = Kind{Name: "payment"}
)

// callers send requests to all nodes over persistent connections.
type callers struct {
	fleet      *fleet
	lastNumber atomic.Int64
	group      sync.WaitGroup
}

// run runs one caller per node until ctx is done, and waits for the last responses.
func (c *callers) run(ctx context.Context) {
	for _, n := range c.fleet.nodes {
		c.group.Go(func() { c.sendRequests(ctx, n) })
	}
	c.group.Wait()
}

func (c *callers) sendRequests(ctx context.Context, n *node) {
	client := newClient()
	defer client.CloseIdleConnections()
	for turn := 0; ctx.Err() == nil; turn++ {
		kind := lookup
		if turn%3 == 0 {
			kind = payment
		}
		c.send(client, n, kind)
		time.Sleep(callerPause)
	}
}

func newClient() *http.Client {
	return &http.Client{Timeout: callerTimeout, Transport: &http.Transport{DisableCompression: true}}
}

// send sends one request and reports its outcome to the checker.
func (c *callers) send(client *http.Client, n *node, kind Kind) Outcome {
	number := c.lastNumber.Add(1)
	id := "r" + strconv.FormatInt(number, 10)
	request := newRequest(n, kind, id)
	c.fleet.checker.RequestSent(id, kind)
	planned := c.fleet.settled() && n.stopsGracefully()
	outcome := roundTrip(client, request, id)
	outcome.Planned = planned && c.fleet.settled()
	c.fleet.checker.RequestEnded(time.Now(), id, outcome)
	return outcome
}

// newRequest builds a request of a kind with the given id.
func newRequest(n *node, kind Kind, id string) *http.Request {
	dialect := platform.Dialect()
	method, path, body := http.MethodGet, "/front/"+id, ""
	switch {
	case kind.Crasher != "":
		path = "/front/" + kind.Crasher
	case !kind.Repeatable:
		method, path, body = http.MethodPost, "/pay/"+id, "payment "+id
	}
	request, err := http.NewRequest(method, "http://"+n.outbound+path, strings.NewReader(body))
	if err != nil {
		panic(fmt.Sprintf("soak: building a request: %v", err)) // All parts of the URL are valid.
	}
	request.GetBody = nil // Without GetBody the client can't resend the request under the same id.
	request.Host = host
	request.Header.Set(dialect.RequestID, id)
	request.Header.Set(dialect.Remaining, strconv.FormatInt(callerTimeout.Milliseconds(), 10))
	switch {
	case kind.Crasher != "":
		request.Header.Set(platformbackend.HeaderCrash, "1")
	case kind.Repeatable:
		request.Header.Set(platformbackend.HeaderCall, "/middle/"+id+",/deep/"+id)
	}
	return request
}

// roundTrip sends a request and reads the complete response.
func roundTrip(client *http.Client, request *http.Request, id string) Outcome {
	response, err := client.Do(request)
	if err != nil {
		return Outcome{}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return Outcome{}
	}
	correct := response.Header.Get(platformbackend.HeaderSeal) == platformbackend.SealOf(id) && strings.HasSuffix(string(body), " "+id)
	return Outcome{Status: response.StatusCode, Correct: correct}
}

// crash sends requests that crash back ends, to each node in turn, until ctx is done.
func (c *callers) crash(ctx context.Context, names ...string) {
	client := newClient()
	defer client.CloseIdleConnections()
	for turn := 0; ctx.Err() == nil; turn++ {
		kind := Kind{Name: "crash", Repeatable: true, Crasher: names[turn%len(names)]}
		c.send(client, c.fleet.nodes[turn%len(c.fleet.nodes)], kind)
		time.Sleep(crasherPause)
	}
}
