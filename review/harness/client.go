package harness

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Request is one request of a client.
type Request struct {
	ID       string
	Method   string
	Path     string
	Body     string
	Chunked  bool // the body comes in chunks instead of with a length
	Deadline time.Duration
}

// Reply is what the client got, Status 0 for a connection that ended without a complete answer.
type Reply struct {
	Status     int
	Sealed     bool
	RetryAfter time.Duration
	Err        error
	Took       time.Duration
}

// Promise reports whether the answer promises that the request has not run and never will.
func (r Reply) Promise() bool {
	switch r.Status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

var lastID atomic.Int64

// NewID returns a request ID of its own for each attempt of a client.
func NewID() string {
	return fmt.Sprintf("%016x", uint64(time.Now().UnixNano())<<8+uint64(lastID.Add(1)&0xff))
}

// Send sends a request on a new connection to the node of a machine and reads the whole answer.
func Send(machine *Machine, request Request) Reply {
	ctx, cancel := context.WithTimeout(context.Background(), request.Deadline)
	defer cancel()
	var body io.Reader
	if request.Body != "" {
		body = strings.NewReader(request.Body)
	}
	if request.Chunked {
		body = io.MultiReader(body) // hides the length
	}
	built, err := http.NewRequestWithContext(ctx, request.Method, "http://"+machine.Outbound()+request.Path, body)
	if err != nil {
		return Reply{Err: err}
	}
	built.Host = Host
	built.Header.Set(Protocol.RequestID, request.ID)
	built.Header.Set(Protocol.Remaining, strconv.FormatInt(request.Deadline.Milliseconds(), 10))
	began := time.Now()
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	response, err := transport.RoundTrip(built)
	if err != nil {
		return Reply{Err: err, Took: time.Since(began)}
	}
	defer response.Body.Close()
	reply := Reply{Status: response.StatusCode, Sealed: response.Header.Get(Protocol.Seal) != ""}
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		reply.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		reply = Reply{Err: err}
	}
	reply.Took = time.Since(began)
	return reply
}
