// Package platformbackend is a stub of a back end of the users' platform, written from the
// published protocol, for the soak. Each start is a new incarnation, which sends heartbeats
// to the node beside it and refuses requests addressed to another back end. It can drain,
// crash, be started again, also under the id that it had, and declare in its answers a rate
// limit or that it is leaving.
//
// It owns its listener and its heartbeats. It relies on package serving, and on package
// platform for header names.
package platformbackend

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/loomcleat/loomcleat/internal/standin/serving"
	"github.com/loomcleat/loomcleat/platform"
)

// Request headers that control the stub, and a header of its responses.
const (
	HeaderCall  = "Stub-Call"  // Paths, separated by commas: call the first before responding, and pass on the others.
	HeaderCrash = "Stub-Crash" // Crash when running this request.
	HeaderSeal  = "Stub-Seal"  // Set on successful responses to SealOf of the request id.
)

// pathHeartbeat is the path of heartbeats at the node. The id of the incarnation follows.
const pathHeartbeat = "/-/instances/"

// Config configures a Backend. All fields are required.
type Config struct {
	Service           string
	Address           string        // Address to listen at, the same for all incarnations.
	OutboundAddress   string        // Address of the node for calls.
	HeartbeatAddress  string        // Address of the node for heartbeats.
	Host              string        // Host header of calls.
	Slots             int           // Requests worked on at the same time.
	WorkTime          time.Duration // Working time for each request.
	HeartbeatInterval time.Duration // Interval between heartbeats.
	Observer          Observer
}

// Observer is notified of events at the stub. Its methods may be called concurrently.
type Observer interface {
	// RequestStarted reports that an incarnation has started to run a request.
	RequestStarted(requestID, incarnation string)
	// Crashed reports that an incarnation has crashed.
	Crashed(incarnation string)
	// DrainAcknowledged reports that the node has acknowledged that an incarnation is
	// draining, or that the first answer which declares it is leaving has been sent.
	DrainAcknowledged(incarnation string)
	// Arrived reports that a request has reached an incarnation, which may refuse it.
	Arrived(incarnation string)
	// RateLimitDeclared reports that an incarnation has sent an answer with a rate limit, in
	// requests per second, 0 for an answer without one.
	RateLimitDeclared(incarnation string, limit float64)
}

// Backend is the stub.
type Backend struct {
	config Config
	client *http.Client
	slots  *serving.Slots

	mutex       sync.Mutex
	starts      int
	ids         int // Ids used so far.
	id          string
	keepsID     bool         // The next start keeps the id.
	incarnation string       // Unique for each start.
	born        int64        // Start of the incarnation, in Unix milliseconds.
	server      *http.Server // nil while the stub is down.
	draining    bool
	leaving     leavingState
	rateLimit   float64 // Requests per second, 0 for no limit.
	sequence    int
	stopped     bool
}

// leavingState tells whether answers declare that the incarnation is leaving.
type leavingState int

const (
	staying           leavingState = iota
	leavingUndeclared              // The next answer is the first one to declare it.
	leavingDeclared
)

// New returns a stub that has not been started.
func New(config Config) *Backend {
	return &Backend{
		config: config,
		slots:  serving.NewSlots(config.Slots, 0),
		client: serving.NewClient(),
	}
}

// Start starts a new incarnation and its heartbeats. It does nothing while one is running or
// after Stop. It returns an error if the address is in use.
func (b *Backend) Start() error {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.stopped || b.server != nil {
		return nil
	}
	if !b.keepsID {
		b.ids++
	}
	id := fmt.Sprintf("i-%s-%d", strings.ReplaceAll(b.config.Address, ":", "-"), b.ids)
	incarnation := fmt.Sprintf("%s, start %d", id, b.starts+1)
	server, err := serving.Listen(b.config.Address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { b.serve(w, r, incarnation) }))
	if err != nil {
		return err
	}
	b.starts++
	b.id, b.incarnation, b.server = id, incarnation, server
	b.born = max(time.Now().UnixMilli(), b.born+1)
	b.keepsID, b.draining, b.leaving, b.rateLimit, b.sequence = false, false, staying, 0, 0
	go b.sendHeartbeats(incarnation)
	return nil
}

// KeepID makes the next start keep the id.
func (b *Backend) KeepID() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.keepsID = true
}

// SetRateLimit sets the rate limit that the current incarnation declares, in requests per second, 0
// for none.
func (b *Backend) SetRateLimit(limit float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.rateLimit = limit
}

// Incarnation returns the name of the current or last incarnation.
func (b *Backend) Incarnation() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.incarnation
}

// Crash stops an incarnation immediately and breaks the connections of its requests in
// flight. It returns false if that incarnation wasn't running.
func (b *Backend) Crash(incarnation string) bool {
	b.mutex.Lock()
	server := b.server
	running := server != nil && b.incarnation == incarnation
	if running {
		b.server = nil
	}
	b.mutex.Unlock()
	if !running {
		return false
	}
	b.config.Observer.Crashed(incarnation)
	_ = server.Close()
	return true
}

// Drain stops the incarnation gracefully: it reports draining to the node, keeps serving for
// a grace period, deregisters and shuts down.
func (b *Backend) Drain(grace time.Duration) {
	b.mutex.Lock()
	server, incarnation := b.server, b.incarnation
	b.draining = true
	b.mutex.Unlock()
	if server == nil {
		return
	}
	if b.sendHeartbeat(incarnation) {
		b.config.Observer.DrainAcknowledged(incarnation)
	}
	b.end(server, grace)
}

// LeaveByAnswers is Drain for an incarnation that declares in its answers only that it is leaving.
func (b *Backend) LeaveByAnswers(grace time.Duration) {
	b.mutex.Lock()
	server := b.server
	b.leaving = leavingUndeclared
	b.mutex.Unlock()
	if server != nil {
		b.end(server, grace)
	}
}

// end ends an incarnation after a grace period.
func (b *Backend) end(server *http.Server, grace time.Duration) {
	time.Sleep(grace)
	b.deregister()
	b.mutex.Lock()
	if b.server == server {
		b.server = nil
	}
	b.mutex.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	_ = server.Shutdown(ctx)
	_ = server.Close()
}

// Stop stops the stub; it can't be started again.
func (b *Backend) Stop() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.stopped = true
	if b.server != nil {
		_ = b.server.Close()
		b.server = nil
	}
	b.client.CloseIdleConnections()
}

// sendHeartbeats sends heartbeats while the incarnation runs.
func (b *Backend) sendHeartbeats(incarnation string) {
	for b.isRunning(incarnation) {
		b.sendHeartbeat(incarnation)
		time.Sleep(b.config.HeartbeatInterval)
	}
}

func (b *Backend) isRunning(incarnation string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.server != nil && b.incarnation == incarnation
}

// heartbeat is the body of a heartbeat.
type heartbeat struct {
	Born    int64           `json:"born"`
	Address string          `json:"address"`
	Info    heartbeatInfo   `json:"info"`
	Status  heartbeatStatus `json:"status"`
}

type heartbeatInfo struct {
	Service string `json:"service"`
	Version string `json:"version"`
	Zone    string `json:"zone"`
	Slots   int    `json:"slots"`
}

type heartbeatStatus struct {
	State    string `json:"state"`
	Sequence int    `json:"seq"`
	Cold     string `json:"cold_remaining"`
}

// sendHeartbeat sends a heartbeat and reports whether the node acknowledged it.
func (b *Backend) sendHeartbeat(incarnation string) bool {
	b.mutex.Lock()
	if b.incarnation != incarnation {
		b.mutex.Unlock()
		return false
	}
	b.sequence++
	state := "ready"
	if b.draining {
		state = "draining"
	}
	id := b.id
	body, err := json.Marshal(heartbeat{
		Born:    b.born,
		Address: b.config.Address,
		Info:    heartbeatInfo{Service: b.config.Service, Version: "v1", Zone: "z", Slots: b.config.Slots},
		Status:  heartbeatStatus{State: state, Sequence: b.sequence, Cold: "0ms"},
	})
	b.mutex.Unlock()
	return err == nil && b.callNode(http.MethodPut, id, string(body))
}

func (b *Backend) deregister() {
	b.mutex.Lock()
	id, born := b.id, b.born
	b.mutex.Unlock()
	b.callNode(http.MethodDelete, id, fmt.Sprintf(`{"born":%d}`, born))
}

// SendForeign sends a message of another writer to the node in place of a heartbeat and returns the HTTP
// status, 0 for no response.
func (b *Backend) SendForeign(body string) int {
	return b.request(http.MethodPut, "i-foreign", body)
}

// heartbeatTimeout is the time limit for the acknowledgement of a heartbeat.
const heartbeatTimeout = time.Second

// callNode sends a message about a back end to the node and reports whether it was acknowledged.
func (b *Backend) callNode(method, id, body string) bool {
	status := b.request(method, id, body)
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// request sends a message about a back end to the node and returns the HTTP status, 0 for no response.
func (b *Backend) request(method, id, body string) int {
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+b.config.HeartbeatAddress+pathHeartbeat+id, strings.NewReader(body))
	if err != nil {
		return 0
	}
	response, err := b.client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

// serve runs a request at an incarnation.
func (b *Backend) serve(w http.ResponseWriter, r *http.Request, incarnation string) {
	dialect := platform.Dialect()
	requestID := r.Header.Get(dialect.RequestID)
	w.Header().Set(dialect.RequestID, requestID)
	id := b.currentID()
	if expected := r.Header.Get(dialect.ExpectInstance); expected != "" && expected != id {
		w.Header().Set(dialect.Instance, id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.config.Observer.Arrived(incarnation)
	release, ok := b.slots.Take(r.Context())
	if !ok {
		w.Header().Set(dialect.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer release()
	crashes := r.Header.Get(HeaderCrash) != ""
	b.config.Observer.RequestStarted(requestID, incarnation)
	time.Sleep(b.config.WorkTime)
	if crashes {
		b.Crash(incarnation)
		<-r.Context().Done()
		return
	}
	b.declare(w.Header(), incarnation)
	if path := r.Header.Get(HeaderCall); path != "" && !b.call(r, path) {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set(HeaderSeal, SealOf(requestID))
	_, _ = fmt.Fprintf(w, "%s %s", b.config.Service, requestID)
}

func (b *Backend) currentID() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.id
}

// Headers of the protocol by which an answer declares a rate limit or that the back end is leaving.
const (
	headerRateLimit = "Server-Limit"
	headerLeaving   = "Server-Leaving"
)

// declare sets the headers of an answer that declare a rate limit and leaving.
func (b *Backend) declare(header http.Header, incarnation string) {
	b.mutex.Lock()
	limit, leaving := b.rateLimit, b.leaving
	if leaving == leavingUndeclared {
		b.leaving = leavingDeclared
	}
	b.mutex.Unlock()
	if limit > 0 {
		header.Set(headerRateLimit, strconv.FormatFloat(limit, 'f', 1, 64))
	}
	if leaving != staying {
		header.Set(headerLeaving, "1")
	}
	b.config.Observer.RateLimitDeclared(incarnation, limit)
	if leaving == leavingUndeclared {
		b.config.Observer.DrainAcknowledged(incarnation)
	}
}

// SealOf returns the value of HeaderSeal for a request, which lets a caller recognize the
// response to its own request.
func SealOf(requestID string) string { return "sealed " + requestID }

// call makes a call for a request, to the first of the comma-separated paths. It reports
// whether the call succeeded with a response that belongs to it.
func (b *Backend) call(parent *http.Request, path string) bool {
	dialect := platform.Dialect()
	path, rest, _ := strings.Cut(path, ",") // The next back end makes the remaining calls.
	request, err := http.NewRequestWithContext(parent.Context(), http.MethodGet, "http://"+b.config.OutboundAddress+path, nil)
	if err != nil {
		return false
	}
	request.Host = b.config.Host
	id := parent.Header.Get(dialect.RequestID) + "." + strconv.Itoa(len(path))
	request.Header.Set(dialect.RequestID, id)
	request.Header.Set(dialect.Remaining, parent.Header.Get(dialect.Remaining))
	if rest != "" {
		request.Header.Set(HeaderCall, rest)
	}
	response, err := b.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return err == nil && response.StatusCode == http.StatusOK && strings.HasSuffix(string(body), " "+id)
}
