package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/internal/standin/metastore"
)

// tooMuchWork is a time of work that outlasts the time to stop.
const tooMuchWork = "10s"

// recordingBackEnd works for the time in the header Work of a request, and records the requests that
// it has got.
type recordingBackEnd struct {
	mutex    sync.Mutex
	arrivals map[string]int // by X-Attempt-Id
}

func startRecordingBackEnd(t *testing.T) (b *recordingBackEnd, address string) {
	t.Helper()
	b = &recordingBackEnd{arrivals: map[string]int{}}
	server := httptest.NewServer(b)
	t.Cleanup(server.Close)
	return b, server.Listener.Addr().String()
}

// ServeHTTP implements http.Handler.
func (b *recordingBackEnd) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Attempt-Id")
	b.mutex.Lock()
	b.arrivals[id]++
	b.mutex.Unlock()
	work, _ := time.ParseDuration(r.Header.Get("Work"))
	select {
	case <-time.After(work):
	case <-r.Context().Done():
	}
	w.Header().Set("X-Attempt-Id", id)
}

func (b *recordingBackEnd) arrived(id string) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.arrivals[id]
}

// stopCaller sends requests on one connection until the process closes it.
type stopCaller struct {
	path, work string
	depth      int // requests that are sent before their answers are read
	statuses   map[int]int
	lost       []string // ids of requests without an answer
}

// run sends requests until the connection ends.
func (c *stopCaller) run(t *testing.T, node *platformNode) {
	conn, err := net.Dial("tcp", node.outbound)
	if err != nil {
		t.Error(err)
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	reader := bufio.NewReader(conn)
	for {
		ids := c.send(conn)
		for i := range ids {
			response, err := http.ReadResponse(reader, nil)
			if err == nil {
				_, err = io.Copy(io.Discard, response.Body)
			}
			if err != nil {
				c.lost = append(c.lost, ids[i:]...)
				return
			}
			c.statuses[response.StatusCode]++
			if response.Close {
				c.lost = append(c.lost, ids[i+1:]...)
				return
			}
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// send sends requests behind each other and returns their ids.
func (c *stopCaller) send(conn net.Conn) []string {
	ids := []string{}
	for range c.depth {
		id := fmt.Sprintf("stop%d", attemptCount.Add(1))
		ids = append(ids, id)
		_, _ = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Remaining: 5000\r\nWork: %s\r\n\r\n", c.path, id, c.work)
	}
	return ids
}

// startStoppableMesh starts two nodes whose back ends record what they get.
func startStoppableMesh(t *testing.T) (nodes map[string]*platformNode, backEnds []*recordingBackEnd) {
	t.Helper()
	stub := metastore.NewServer()
	store := httptest.NewServer(stub.Handler())
	t.Cleanup(store.Close)
	stub.Put("op/config", []byte(`{"version":3,"hosts":[{"host":"shop.example","paths":[
{"name":"front","path_prefix":"/front/","type":"safe","timeout":"5s","priority":1,"service":"front","max_attempts":2},
{"name":"deep","path_prefix":"/deep/","type":"unsafe","timeout":"5s","priority":0,"service":"deep","max_attempts":1}]}]}`))
	nodes = map[string]*platformNode{}
	for _, service := range []string{"front", "deep"} {
		node := newPlatformNode(t, service)
		node.slots = 64
		backEnd, address := startRecordingBackEnd(t)
		node.startWithBackEnd(t, store.URL, address)
		node.awaitReady(t)
		nodes[service] = node
		backEnds = append(backEnds, backEnd)
	}
	for _, node := range nodes {
		node.getUntilServed(t, "/front/x", "")
		node.getUntilServed(t, "/deep/x", "")
	}
	return nodes, backEnds
}

// TestPlannedStopAnswersWhatItPassedOn guards against a process that stops and closes a connection
// without an answer to a request that a back end has got: one that came late, or whose work outlasts
// the time to stop.
func TestPlannedStopAnswersWhatItPassedOn(t *testing.T) {
	for _, stopped := range []string{"front", "deep"} {
		t.Run("the node of "+stopped, func(t *testing.T) {
			nodes, backEnds := startStoppableMesh(t)
			node := nodes[stopped]
			callers := []*stopCaller{}
			for _, work := range []string{"1ms", "300ms", "1s", tooMuchWork} {
				for _, path := range []string{"/front/x", "/deep/x"} {
					for _, depth := range []int{1, 3} {
						callers = append(callers, &stopCaller{path: path, work: work, depth: depth, statuses: map[int]int{}})
					}
				}
			}
			var group sync.WaitGroup
			for i, caller := range callers {
				group.Go(func() {
					time.Sleep(time.Duration(i) * 10 * time.Millisecond)
					caller.run(t, node)
				})
			}
			time.Sleep(300 * time.Millisecond)
			node.signal(syscall.SIGTERM)
			group.Wait()
			node.terminate()
			is.New(t).NoErr(node.err)
			checkNothingLost(t, callers, backEnds)
		})
	}
}

// checkNothingLost checks that no request without an answer has reached a back end, that none has
// reached one more often than its route allows, and that those which take too long were answered.
func checkNothingLost(t *testing.T, callers []*stopCaller, backEnds []*recordingBackEnd) {
	t.Helper()
	is := is.New(t)
	for _, caller := range callers {
		lost := 0
		for _, id := range caller.lost {
			for _, backEnd := range backEnds {
				lost += backEnd.arrived(id)
			}
		}
		if lost > 0 {
			t.Errorf("%s, work %s, %d at a time: %d requests without an answer had reached a back end; answers %v",
				caller.path, caller.work, caller.depth, lost, caller.statuses)
		}
		if caller.work == tooMuchWork {
			is.True(caller.statuses[http.StatusBadGateway]+caller.statuses[http.StatusGatewayTimeout] > 0)
		}
	}
	front, deep := backEnds[0], backEnds[1]
	for id, count := range front.arrivals {
		is.True(count <= 2 && deep.arrivals[id] == 0)
	}
	for _, count := range deep.arrivals {
		is.Equal(count, 1)
	}
}
