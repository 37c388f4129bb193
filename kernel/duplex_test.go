package kernel

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/policy"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/settings"
	"github.com/loomcleat/loomcleat/transport/lingering"
)

// earlyServer answers requests of the path /early before it has read them, and all others after that.
type earlyServer struct {
	*httptest.Server
	mutex sync.Mutex
	seen  []string // methods and paths of the requests that were served
}

// earlyAnswer answers a call before its body has been read. It is a source of early answers.
type earlyAnswer func(call *Call) (*Answer, error)

func startEarlyServer(t *testing.T, early earlyAnswer, limit int64) *earlyServer {
	t.Helper()
	process := newProcess(Options{Settings: settings.Default(settings.RoleNode), Log: event.Discard()})
	s := &earlyServer{}
	chain := HandlerFunc(func(call *Call) (*Answer, error) {
		s.record(call.Method + " " + call.URL.Path)
		if call.URL.Path == "/early" {
			return early(call)
		}
		body, _ := call.Body.Open()
		text, err := io.ReadAll(body)
		return textAnswer(http.StatusOK, fmt.Sprint(len(text))), err
	})
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		process.serve(w, r, directionOutbound, chain, func(r *http.Request) (*Call, error) {
			if err := checkLimits(r, policy.Limits{MaximumBody: limit}); err != nil {
				return nil, err
			}
			return testCall(r)
		})
	})
	s.Server = httptest.NewUnstartedServer(handler)
	s.Config.ConnContext = withConnection
	s.Listener = callerListener{Listener: lingering.Listener{Listener: s.Listener, Background: process.closeInBackground}}
	s.Start()
	t.Cleanup(func() {
		process.cancel()
		s.Close()
	})
	return s
}

func testCall(r *http.Request) (*Call, error) {
	body, err := newBody(r)
	if err != nil {
		return nil, err
	}
	return &Call{Method: r.Method, URL: r.URL, Header: r.Header, Body: body, Deadline: clock.Now().Add(time.Minute)}, nil
}

func textAnswer(status int, text string) *Answer {
	return &Answer{Response: &http.Response{
		StatusCode:    status,
		Header:        http.Header{},
		ContentLength: int64(len(text)),
		Body:          io.NopCloser(strings.NewReader(text)),
	}}
}

func (s *earlyServer) record(request string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.seen = append(s.seen, request)
}

// unexpected returns the requests that were served and that no client has sent.
func (s *earlyServer) unexpected() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.DeleteFunc(slices.Clone(s.seen), func(request string) bool {
		return request == "POST /early" || request == "GET /next"
	})
}

// answerOf answers at once, as a back end does that rejects a long request.
func answerOf(text string) earlyAnswer {
	return func(*Call) (*Answer, error) { return textAnswer(http.StatusRequestEntityTooLarge, text), nil }
}

func refuseAtOnce(*Call) (*Answer, error) {
	return nil, result.New(result.Overloaded, "no capacity")
}

// failWhileReading fails while another goroutine still reads the body, as at a deadline.
func failWhileReading(call *Call) (*Answer, error) {
	body, _ := call.Body.Open()
	reading := make(chan struct{})
	go func() {
		_, _ = body.Read(make([]byte, 1))
		close(reading)
		_, _ = io.Copy(io.Discard, body)
	}()
	<-reading
	return nil, result.New(result.DeadlineExceeded, "too late")
}

// readToLimit reads the body, which turns out to be too large if its length was not known.
func readToLimit(call *Call) (*Answer, error) {
	body, _ := call.Body.Open()
	_, err := io.Copy(io.Discard, body)
	return nil, result.Wrap(result.ConnectionLost, err, "the body ended early")
}

// earlySources are sources of answers that come before the end of the body.
var earlySources = map[string]struct {
	answer earlyAnswer
	limit  int64 // of the body, in bytes; 0: none
}{
	"answer":                     {answerOf("too long"), 0},
	"long answer":                {answerOf(strings.Repeat("no", 512<<10)), 0},
	"refusal":                    {refuseAtOnce, 0},
	"failure while body is read": {failWhileReading, 0},
	"limit":                      {readToLimit, 100 << 10},
}

// framedBodies frame a body with a length and in chunks.
var framedBodies = map[string]func(body string) (field, framed string){
	"length": func(body string) (string, string) { return fmt.Sprintf("Content-Length: %d", len(body)), body },
	"chunks": func(body string) (string, string) {
		half := len(body) / 2
		return "Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", half, body[:half], len(body)-half, body[half:])
	},
}

const smuggledRequest = "POST /smuggled HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"

// bodyWithRequest returns a body that ends with the text of a request.
func bodyWithRequest(size int) string {
	return strings.Repeat("x", size-len(smuggledRequest)) + smuggledRequest
}

// dialEarly opens a connection to a server of early answers.
func dialEarly(t *testing.T, s *earlyServer) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	return conn.(*net.TCPConn)
}

// writeInPieces writes a text, with pauses.
func writeInPieces(conn net.Conn, text string, piece int, pause time.Duration) error {
	for len(text) > 0 {
		n := min(piece, len(text))
		if _, err := io.WriteString(conn, text[:n]); err != nil {
			return err
		}
		text = text[n:]
		time.Sleep(pause)
	}
	return nil
}

// TestBodyBehindEarlyAnswerIsNoRequest guards against the rest of a body, whose answer came before its end,
// that is served as the next request (request smuggling), and against a caller that loses the answer since
// the connection was reset while it wrote.
func TestBodyBehindEarlyAnswerIsNoRequest(t *testing.T) {
	const size = 600 << 10
	speeds := map[string]struct {
		piece int
		pause time.Duration
	}{
		"fast":             {size, 0},
		"slow":             {size / 8, 50 * time.Millisecond},
		"slower than 0.1s": {size / 4, 150 * time.Millisecond},
	}
	for name, source := range earlySources {
		for framing, frame := range framedBodies {
			for speed, pace := range speeds {
				t.Run(name+", "+framing+", "+speed, func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					server := startEarlyServer(t, source.answer, source.limit)
					conn := dialEarly(t, server)
					field, body := frame(bodyWithRequest(size))
					request := "POST /early HTTP/1.1\r\nHost: h\r\n" + field + "\r\n\r\n" + body
					is.NoErr(writeInPieces(conn, request, pace.piece, pace.pause)) // the answer is read after that
					reader := bufio.NewReader(conn)
					response, err := http.ReadResponse(reader, nil)
					is.NoErr(err)
					_, err = io.ReadAll(response.Body)
					is.NoErr(err) // the answer is whole
					_, _ = io.WriteString(conn, "GET /next HTTP/1.1\r\nHost: h\r\n\r\n")
					if response.Close {
						_, err = reader.ReadByte()
						is.True(errors.Is(err, io.EOF)) // an orderly end, and no answer that no one has asked for
						is.Equal(len(server.unexpected()), 0)
						return
					}
					next, err := http.ReadResponse(reader, nil)
					is.NoErr(err)
					is.Equal(next.StatusCode, http.StatusOK)
					is.Equal(len(server.unexpected()), 0)
				})
			}
		}
	}
}

// TestRefusalOfShortBodyKeepsConnection guards against callers whose connection closes with each refusal of
// a body in chunks that has arrived.
func TestRefusalOfShortBodyKeepsConnection(t *testing.T) {
	is := is.New(t)
	server := startEarlyServer(t, refuseAtOnce, 0)
	conn := dialEarly(t, server)
	reader := bufio.NewReader(conn)
	for range 3 {
		_, err := io.WriteString(conn, "POST /early HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n")
		is.NoErr(err)
		response, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		is.True(!response.Close)
		_, err = io.ReadAll(response.Body)
		is.NoErr(err)
	}
	_, err := io.WriteString(conn, "GET /next HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	response, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
}

// TestEarlyAnswerToBodyOnDemand guards against a body that is taken for a request, since its answer came
// before the caller was told to send it.
func TestEarlyAnswerToBodyOnDemand(t *testing.T) {
	for source, early := range map[string]earlyAnswer{"answer": answerOf("no"), "refusal": refuseAtOnce} {
		t.Run(source, func(t *testing.T) {
			is := is.New(t)
			server := startEarlyServer(t, early, 0)
			conn := dialEarly(t, server)
			body := bodyWithRequest(100 << 10)
			_, err := fmt.Fprintf(conn, "POST /early HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", len(body))
			is.NoErr(err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			is.True(response.StatusCode >= http.StatusBadRequest) // not 100
			is.True(response.Close)
			_, _ = io.WriteString(conn, body)
			_, _ = io.Copy(io.Discard, conn)
			is.Equal(len(server.unexpected()), 0)
		})
	}
}

// TestLongBodyThatIsReadKeepsConnection guards against connections that close with each long request.
func TestLongBodyThatIsReadKeepsConnection(t *testing.T) {
	for framing, frame := range framedBodies {
		t.Run(framing, func(t *testing.T) {
			is := is.New(t)
			conn := dialEarly(t, startEarlyServer(t, refuseAtOnce, 0))
			reader := bufio.NewReader(conn)
			for range 3 {
				field, body := frame(bodyWithRequest(600 << 10))
				_, err := io.WriteString(conn, "POST /read HTTP/1.1\r\nHost: h\r\n"+field+"\r\n\r\n"+body)
				is.NoErr(err)
				response, err := http.ReadResponse(reader, nil)
				is.NoErr(err)
				is.Equal(response.StatusCode, http.StatusOK)
				is.True(!response.Close)
				_, err = io.ReadAll(response.Body)
				is.NoErr(err)
			}
		})
	}
}
