// Package platformbackend is a stub of a back end of the users' platform, written from the
// published protocol, for the soak. Each start is a new incarnation, which sends heartbeats
// to the node beside it and refuses requests addressed to another incarnation. It can drain,
// crash and be started again.
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
	// draining.
	DrainAcknowledged(incarnation string)
}

// Backend is the stub.
type Backend struct {
	config Config
	client *http.Client
	slots  *serving.Slots

	mutex       sync.Mutex
	starts      int
	incarnation string
	server      *http.Server // nil while the stub is down.
	draining    bool
	sequence    int
	stopped     bool
}

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
	incarnation := fmt.Sprintf("i-%s-%d", strings.ReplaceAll(b.config.Address, ":", "-"), b.starts+1)
	server, err := serving.Listen(b.config.Address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { b.serve(w, r, incarnation) }))
	if err != nil {
		return err
	}
	b.starts++
	b.incarnation, b.server = incarnation, server
	b.draining, b.sequence = false, 0
	go b.sendHeartbeats(incarnation)
	return nil
}

// Incarnation returns the id of the current or last incarnation.
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
	time.Sleep(grace)
	b.deregister(incarnation)
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
	b.sequence++
	state := "ready"
	if b.draining {
		state = "draining"
	}
	body, err := json.Marshal(heartbeat{
		Address: b.config.Address,
		Info:    heartbeatInfo{Service: b.config.Service, Version: "v1", Zone: "z", Slots: b.config.Slots},
		Status:  heartbeatStatus{State: state, Sequence: b.sequence, Cold: "0ms"},
	})
	b.mutex.Unlock()
	return err == nil && b.callNode(http.MethodPut, incarnation, string(body))
}

func (b *Backend) deregister(incarnation string) { b.callNode(http.MethodDelete, incarnation, "") }

// heartbeatTimeout is the time limit for the acknowledgement of a heartbeat.
const heartbeatTimeout = time.Second

func (b *Backend) callNode(method, incarnation, body string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+b.config.HeartbeatAddress+pathHeartbeat+incarnation, strings.NewReader(body))
	if err != nil {
		return false
	}
	response, err := b.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode < http.StatusMultipleChoices
}

// serve runs a request at an incarnation.
func (b *Backend) serve(w http.ResponseWriter, r *http.Request, incarnation string) {
	dialect := platform.Dialect()
	requestID := r.Header.Get(dialect.RequestID)
	w.Header().Set(dialect.RequestID, requestID)
	if expected := r.Header.Get(dialect.ExpectInstance); expected != "" && expected != incarnation {
		w.Header().Set(dialect.Instance, incarnation)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
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
	if path := r.Header.Get(HeaderCall); path != "" && !b.call(r, path) {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set(HeaderSeal, SealOf(requestID))
	_, _ = fmt.Fprintf(w, "%s %s", b.config.Service, requestID)
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
