package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/settings"
	"github.com/loomcleat/loomcleat/wire"
)

// displacedHeader marks a request before whose answer the back end sends the one before once more.
const displacedHeader = "Displaced"

// startSurplusBackEnd starts a back end that answers each request with an empty body and its ID.
func startSurplusBackEnd(t *testing.T) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveSurplus(conn)
		}
	}()
	return listener.Addr().String()
}

func serveSurplus(conn net.Conn) {
	defer conn.Close()
	reader, before := bufio.NewReader(conn), ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get("Request-Id")
		if request.Header.Get(displacedHeader) != "" {
			writeEmptyAnswer(conn, before)
			time.Sleep(surplusLead)
		}
		writeEmptyAnswer(conn, id)
		before = id
	}
}

// surplusLead is the time by which a surplus answer comes before the one that it displaces.
const surplusLead = 50 * time.Millisecond

// writeEmptyAnswer writes an answer to the request with an ID, "" for one without.
func writeEmptyAnswer(conn io.Writer, id string) {
	if id != "" {
		id = fmt.Sprintf("Request-Id: %s\r\n", id)
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Length: 0\r\n\r\n", id)
}

func newIdentifyingForwarder(address string) *forwarder {
	return &forwarder{
		process: &kernel.Process{
			Log:      event.Discard(),
			Settings: settings.Settings{Backend: address},
			Dialect:  wire.Dialect{RequestID: "Request-Id"},
		},
		transmitter: kernel.NewTransmitter(kernel.TransmitterConfig{Refused: result.BackendUnreachable, MaximumIdle: 1}),
	}
}

// sendRequest sends a request with an ID, "" for none, and reads the answer.
func sendRequest(t *testing.T, f *forwarder, id string, displaced bool) error {
	t.Helper()
	header := http.Header{}
	if displaced {
		header.Set(displacedHeader, "1")
	}
	if id != "" {
		header.Set("Request-Id", id)
	}
	answer, err := f.handle(&kernel.Call{
		Context:   t.Context(),
		Method:    http.MethodGet,
		URL:       &url.URL{Path: "/"},
		Header:    header,
		Body:      kernel.NewBufferedBody(nil),
		RequestID: id,
		Deadline:  clock.Now().Add(time.Minute),
		Execution: &kernel.Execution{},
	})
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	_, err = io.Copy(io.Discard, answer.Body)
	return err
}

// TestAnswerToAnotherRequest guards against passing on an answer to another request, also to one
// without an ID, and against using the connection again: each later request on it would get the
// answer to the one before.
func TestAnswerToAnotherRequest(t *testing.T) {
	for name, displaced := range map[string]string{"with an ID": "second", "without an ID": ""} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newIdentifyingForwarder(startSurplusBackEnd(t))
			is.NoErr(sendRequest(t, f, "first", false))
			err := sendRequest(t, f, displaced, true)
			is.Equal(result.From(err).Code, result.AnswerMismatch)
			is.True(!result.From(err).NotRun())
			is.NoErr(sendRequest(t, f, "third", false))
		})
	}
}

// TestRefusalKeepsConnection guards against a new connection for each request that a full back end
// refuses.
func TestRefusalKeepsConnection(t *testing.T) {
	is := is.New(t)
	connections := atomic.Int64{}
	backEnd := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	backEnd.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	backEnd.Start()
	defer backEnd.Close()
	f := newIdentifyingForwarder(backEnd.Listener.Addr().String())
	f.process.Dialect.NotRun = "Not-Run"
	for range 3 {
		is.Equal(result.From(sendRequest(t, f, "id", false)).Code, result.BackendRefused)
	}
	is.Equal(connections.Load(), int64(1))
}

// TestRequestWithoutID guards against rejecting the answer to a request without an ID.
func TestRequestWithoutID(t *testing.T) {
	is := is.New(t)
	is.NoErr(sendRequest(t, newIdentifyingForwarder(startSurplusBackEnd(t)), "", false))
}
