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

// Bounds of callers.
const (
	callerPatience = 3 * time.Second
	callerPause    = 20 * time.Millisecond
	crasherPause   = 150 * time.Millisecond
)

// Kinds of requests.
var (
	lookup  = Kind{Name: "lookup", Repeatable: true} // three deep
	payment = Kind{Name: "payment"}
)

// callers send requests to all nodes, on connections that they keep until these end.
type callers struct {
	fleet *fleet
	next  atomic.Int64
	group sync.WaitGroup
}

// run keeps one caller at each node until ctx ends, and waits for the last answers.
func (c *callers) run(ctx context.Context) {
	for _, n := range c.fleet.nodes {
		c.group.Go(func() { c.keepAsking(ctx, n) })
	}
	c.group.Wait()
}

func (c *callers) keepAsking(ctx context.Context, n *node) {
	client := newClient()
	defer client.CloseIdleConnections()
	for turn := 0; ctx.Err() == nil; turn++ {
		kind := lookup
		if turn%3 == 0 {
			kind = payment
		}
		c.ask(client, n, kind)
		time.Sleep(callerPause)
	}
}

func newClient() *http.Client {
	return &http.Client{Timeout: callerPatience, Transport: &http.Transport{DisableCompression: true}}
}

// ask sends one request of a kind and tells how it ended.
func (c *callers) ask(client *http.Client, n *node, kind Kind) Answer {
	number := c.next.Add(1)
	id := "r" + strconv.FormatInt(number, 10)
	request := requestOf(n, kind, id)
	c.fleet.checker.Sent(id, kind)
	planned := c.fleet.settled() && n.stopsInOrder()
	answer := exchange(client, request, id)
	answer.Planned = planned && c.fleet.settled()
	c.fleet.checker.Ended(time.Now(), id, answer)
	return answer
}

// requestOf builds the request of a try.
func requestOf(n *node, kind Kind, id string) *http.Request {
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
		panic(fmt.Sprintf("soak: building a request: %v", err)) // all its parts are constants
	}
	request.GetBody = nil // it must not be sent again under the same id
	request.Host = host
	request.Header.Set(dialect.RequestID, id)
	request.Header.Set(dialect.Remaining, strconv.FormatInt(callerPatience.Milliseconds(), 10))
	switch {
	case kind.Crasher != "":
		request.Header.Set(platformbackend.HeaderCrash, "1")
	case kind.Repeatable:
		request.Header.Set(platformbackend.HeaderCall, "/middle/"+id+",/deep/"+id)
	}
	return request
}

// exchange sends a request and reads its answer to the end.
func exchange(client *http.Client, request *http.Request, id string) Answer {
	response, err := client.Do(request)
	if err != nil {
		return Answer{}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return Answer{}
	}
	own := response.Header.Get(platformbackend.HeaderSeal) == platformbackend.SealOf(id) && strings.HasSuffix(string(body), " "+id)
	return Answer{Status: response.StatusCode, Own: own}
}

// crash sends requests that crash back ends, again and again and at each node in turn,
// until ctx ends.
func (c *callers) crash(ctx context.Context, names ...string) {
	client := newClient()
	defer client.CloseIdleConnections()
	for turn := 0; ctx.Err() == nil; turn++ {
		kind := Kind{Name: "crash", Repeatable: true, Crasher: names[turn%len(names)]}
		c.ask(client, c.fleet.nodes[turn%len(c.fleet.nodes)], kind)
		time.Sleep(crasherPause)
	}
}
