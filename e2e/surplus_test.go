package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/internal/standin/metastore"
)

// Behaviour of a back end that sends an answer twice.
const (
	surplusDelay = 20 * time.Millisecond
	// surplusWork is long enough for the surplus answer to arrive first.
	surplusWork = 100 * time.Millisecond
	// shedEvery is the share of requests that are refused when they first arrive: one in so many.
	shedEvery = 3
)

// sheddingBackEnd refuses some requests when they first arrive, sends the refusal once more,
// late, and runs the request when it arrives again.
type sheddingBackEnd struct {
	mutex    sync.Mutex
	arrivals map[string]int
	// Requests that were refused, each once.
	refused map[string]bool
}

func startSheddingBackEnd(t *testing.T) (b *sheddingBackEnd, address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	b = &sheddingBackEnd{arrivals: map[string]int{}, refused: map[string]bool{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go b.serve(conn)
		}
	}()
	return b, listener.Addr().String()
}

// serve serves the requests of a connection one after the other.
func (b *sheddingBackEnd) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get("X-Attempt-Id")
		if b.recordArrival(id) {
			refusal := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
			_, _ = io.WriteString(conn, refusal)
			time.AfterFunc(surplusDelay, func() { _, _ = io.WriteString(conn, refusal) })
			continue
		}
		time.Sleep(surplusWork)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: %s\r\nContent-Length: 2\r\n\r\nok", id, seal)
	}
}

// recordArrival records a request and reports whether it is refused.
func (b *sheddingBackEnd) recordArrival(id string) (refused bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.arrivals[id]++
	refused = b.arrivals[id] == 1 && len(b.arrivals)%shedEvery == 0
	if refused {
		b.refused[id] = true
	}
	return refused
}

// outcome returns how often a request has run and whether it was refused before.
func (b *sheddingBackEnd) outcome(id string) (runs int, refused bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	runs, refused = b.arrivals[id], b.refused[id]
	if refused {
		runs--
	}
	return runs, refused
}

// startOrders starts a back end that sheds, its node, and a route whose requests may not run
// twice.
func startOrders(t *testing.T) (*sheddingBackEnd, *platformNode) {
	t.Helper()
	stub := metastore.NewServer()
	store := httptest.NewServer(stub.Handler())
	t.Cleanup(store.Close)
	stub.Put("op/config", []byte(`{"version":3,"hosts":[{"host":"shop.example","paths":[
{"name":"orders","path_prefix":"/orders/","type":"unsafe","timeout":"3s","priority":0,"service":"front","max_attempts":3}]}]}`))
	backEnd, address := startSheddingBackEnd(t)
	node := newPlatformNode(t, "front")
	node.slots = 64
	node.startWithBackEnd(t, store.URL, address)
	node.awaitReady(t)
	return backEnd, node
}

// TestLateRefusalIsNotTakenForAnswerToRetry guards against a refusal that a back end sends twice,
// the second time late, and that is taken for the answer to the next attempt: the caller is told
// that its request has not run while it runs.
func TestLateRefusalIsNotTakenForAnswerToRetry(t *testing.T) {
	is := is.New(t)
	backEnd, node := startOrders(t)
	retried := 0
	for number := range 30 {
		id := "order" + strconv.Itoa(number)
		status := postOrder(t, node, id)
		runs, refused := backEnd.outcome(id)
		t.Logf("%s: refused %t, status %d, runs %d", id, refused, status, runs)
		if status == http.StatusOK {
			is.Equal(runs, 1)
			if refused {
				retried++
			}
			continue
		}
		is.Equal(status, http.StatusServiceUnavailable)
		time.Sleep(surplusWork) // a request that was reported as not run must not run later either
		runs, _ = backEnd.outcome(id)
		is.Equal(runs, 0)
	}
	is.True(retried > 0)
}

// postOrder sends a request that may not run twice and returns the status of the answer.
func postOrder(t *testing.T, node *platformNode, id string) int {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+node.outbound+"/orders/x", strings.NewReader("order"))
	is.New(t).NoErr(err)
	request.Host = "shop.example"
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Deadline-Remaining", "5000")
	return fetchStatus(request)
}
