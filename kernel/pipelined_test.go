package kernel

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/transport/lingering"
)

// pipelineServer is a server that serves pipelined requests concurrently.
type pipelineServer struct {
	*httptest.Server
	mutex   sync.Mutex
	started []string // paths of requests in the order of their start
}

func startPipelineServer(t *testing.T, handler http.HandlerFunc) *pipelineServer {
	t.Helper()
	s := &pipelineServer{}
	recorded := func(w http.ResponseWriter, r *http.Request) {
		s.mutex.Lock()
		s.started = append(s.started, r.URL.Path)
		s.mutex.Unlock()
		handler(w, r)
	}
	s.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if started := callerConnOf(r).takePipelined(r, "X-Id"); started != nil {
			started.writeTo(w)
			return
		}
		recorded(w, r)
	}))
	s.Config.ConnContext = withConnection
	s.Listener = callerListener{Listener: lingering.Listener{Listener: s.Listener}, start: func(ctx context.Context, r *http.Request) *pipelined {
		ctx, cancel := context.WithCancel(ctx)
		started := newPipelined(r.WithContext(ctx), cancel)
		go started.run(http.HandlerFunc(recorded))
		return started
	}}
	s.Start()
	t.Cleanup(s.Close)
	return s
}

func (s *pipelineServer) paths() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]string{}, s.started...)
}

// pipeliner is a client connection that sends several requests before it reads an answer.
type pipeliner struct {
	net.Conn
	reader *bufio.Reader
}

func dialPipeliner(t *testing.T, s *pipelineServer) *pipeliner {
	t.Helper()
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	return &pipeliner{Conn: conn, reader: bufio.NewReader(conn)}
}

func getText(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

func (p *pipeliner) answer() (string, error) {
	response, err := http.ReadResponse(p.reader, nil)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return fmt.Sprintf("%d %s", response.StatusCode, body), err
}

// TestPipelinedRequestsRunConcurrently guards against pipelined requests that wait for
// each other, and against answers in the wrong order.
func TestPipelinedRequestsRunConcurrently(t *testing.T) {
	for name, pieces := range map[string][]string{
		"in one piece":        {getText("/1") + getText("/2") + getText("/3")},
		"one after another":   {getText("/1"), getText("/2"), getText("/3")},
		"cut within requests": {getText("/1")[:9], getText("/1")[9:] + getText("/2")[:20], getText("/2")[20:] + getText("/3")},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var all sync.WaitGroup
			all.Add(3)
			s := startPipelineServer(t, func(w http.ResponseWriter, r *http.Request) {
				all.Done()
				all.Wait()
				w.WriteHeader(http.StatusAccepted)
				_, _ = io.WriteString(w, r.URL.Path)
			})
			caller := dialPipeliner(t, s)
			for _, piece := range pieces {
				_, err := io.WriteString(caller, piece)
				is.NoErr(err)
				time.Sleep(10 * time.Millisecond) // pieces should arrive separately; the result does not depend on it
			}
			for _, path := range []string{"/1", "/2", "/3"} {
				got, err := caller.answer()
				is.NoErr(err)
				is.Equal(got, "202 "+path)
			}
			is.Equal(len(s.paths()), 3) // each has run once
		})
	}
}

// TestFirstRequestGetsItsOwnAnswer guards against the first request taking the answer of a
// later one, when later ones start before the server calls the handler of the first.
func TestFirstRequestGetsItsOwnAnswer(t *testing.T) {
	is := is.New(t)
	s := startPipelineServer(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.URL.Path)
	})
	served := s.Config.Handler
	s.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := callerConnOf(r)
		for r.URL.Path == "/1" && conn.startedRequests() < 2 {
			time.Sleep(time.Millisecond)
		}
		served.ServeHTTP(w, r)
	})
	caller := dialPipeliner(t, s)
	_, err := io.WriteString(caller, getText("/1")+getText("/2")+getText("/3"))
	is.NoErr(err)
	for _, path := range []string{"/1", "/2", "/3"} {
		got, err := caller.answer()
		is.NoErr(err)
		is.Equal(got, "200 "+path)
	}
	is.Equal(len(s.paths()), 3) // each has run once
}

// startedRequests returns the number of started requests that have not been taken.
func (c *callerConn) startedRequests() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.queue)
}

// TestMoreRequestsThanTheQueueHolds guards against lost or truncated answers when both the
// queue and the buffers of the answers are full.
func TestMoreRequestsThanTheQueueHolds(t *testing.T) {
	is := is.New(t)
	long := strings.Repeat("0123456789", maximumBuffered/5)
	s := startPipelineServer(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.URL.Path)
		_, _ = io.WriteString(w, long)
	})
	caller := dialPipeliner(t, s)
	const count = 3 * maximumPipelined
	go func() {
		for i := range count {
			_, _ = io.WriteString(caller, getText(fmt.Sprintf("/%d", i)))
		}
	}()
	for i := range count {
		got, err := caller.answer()
		is.NoErr(err)
		is.Equal(got, fmt.Sprintf("200 /%d%s", i, long))
	}
	is.Equal(len(s.paths()), count)
}

// TestUnsafeRequestWaitsForItsTurn guards against starting a POST request, or one after
// it, before the previous requests are answered.
func TestUnsafeRequestWaitsForItsTurn(t *testing.T) {
	is := is.New(t)
	first := make(chan struct{})
	s := startPipelineServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/1" {
			<-first
		}
		body, _ := io.ReadAll(r.Body)
		_, _ = io.WriteString(w, r.URL.Path+string(body))
	})
	caller := dialPipeliner(t, s)
	smuggled := getText("/smuggled")
	post := fmt.Sprintf("POST /3 HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(smuggled), smuggled)
	_, err := io.WriteString(caller, getText("/1")+getText("/2")+post+getText("/4"))
	is.NoErr(err)
	for len(s.paths()) < 2 {
		time.Sleep(time.Millisecond)
	}
	close(first)
	for _, want := range []string{"200 /1", "200 /2", "200 /3" + smuggled, "200 /4"} {
		got, err := caller.answer()
		is.NoErr(err)
		is.Equal(got, want)
	}
	started := s.paths()
	is.Equal(len(started), 4)
	is.Equal(started[2:], []string{"/3", "/4"}) // after the first two, in order
}

// TestCallerCloseCancelsAllRequests guards against requests that keep running after their
// caller has closed the connection.
func TestCallerCloseCancelsAllRequests(t *testing.T) {
	is := is.New(t)
	var started, ended sync.WaitGroup
	started.Add(2)
	ended.Add(2)
	s := startPipelineServer(t, func(_ http.ResponseWriter, r *http.Request) {
		started.Done()
		<-r.Context().Done()
		ended.Done()
	})
	caller := dialPipeliner(t, s)
	_, err := io.WriteString(caller, getText("/1")+getText("/2"))
	is.NoErr(err)
	started.Wait()
	is.NoErr(caller.Close())
	ended.Wait()
}

// TestTruncatedAnswer guards against a truncated answer that looks complete, and against
// losing the answers after it. Only an answer longer than the buffer closes the connection.
func TestTruncatedAnswer(t *testing.T) {
	for _, long := range []bool{false, true} {
		is := is.New(t)
		s := startPipelineServer(t, func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, "half")
			if r.URL.Path != "/2" {
				return
			}
			if long {
				_, _ = w.Write(make([]byte, maximumBuffered))
				_, _ = io.WriteString(w, "more") // blocks until the buffer is taken
			}
			panic(http.ErrAbortHandler)
		})
		caller := dialPipeliner(t, s)
		_, err := io.WriteString(caller, getText("/1")+getText("/2")+getText("/3"))
		is.NoErr(err)
		got, err := caller.answer()
		is.NoErr(err)
		is.Equal(got, "200 half")
		got, err = caller.answer()
		if long {
			is.True(err != nil)
			continue
		}
		is.NoErr(err)
		is.True(strings.HasPrefix(got, "502 "))
		got, err = caller.answer()
		is.NoErr(err)
		is.Equal(got, "200 half")
	}
}
