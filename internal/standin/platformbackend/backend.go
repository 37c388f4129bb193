// Package platformbackend is a stand-in for a back end of the users' platform, written from
// its published protocol: it has incarnations, sends heartbeats to the node beside it,
// refuses what is meant for another incarnation, drains, crashes and comes back.
//
// It owns its listener and its heartbeats, and relies on package serving, and on package
// platform for the names of headers. It belongs to the soak.
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

// Headers of requests that tell the stand-in what to do, and of its answers.
const (
	HeaderCall  = "Stub-Call"  // path of a call to make before answering
	HeaderCrash = "Stub-Crash" // crash when running this request
	HeaderSeal  = "Stub-Seal"  // of answers: proves whose they are
)

// pathHeartbeat is where the node takes heartbeats, followed by the id of the incarnation.
const pathHeartbeat = "/-/instances/"

// Config configures a Backend. All fields are required.
type Config struct {
	Service    string
	Address    string        // where it listens, the same for all incarnations
	Outbound   string        // address of its node for calls
	Heartbeats string        // address of its node for heartbeats
	Host       string        // Host of its calls
	Slots      int           // requests that it works on at a time
	Work       time.Duration // time for each
	Beat       time.Duration // between two heartbeats
	Observer   Observer
}

// Observer is told what the stand-in sees. Its methods may be called at the same time.
type Observer interface {
	// Ran tells that an incarnation has begun to run a request.
	Ran(requestID, instance string)
	// Crashed tells that an incarnation has crashed.
	Crashed(instance string)
	// Closed tells that the node has acknowledged that an incarnation leaves.
	Closed(instance string)
}

// Backend is the stand-in.
type Backend struct {
	config Config
	client *http.Client
	slots  *serving.Slots

	mutex    sync.Mutex
	starts   int
	instance string
	server   *http.Server // nil while it is down
	draining bool
	sequence int
	stopped  bool
}

// New returns a stand-in that is down.
func New(config Config) *Backend {
	return &Backend{
		config: config,
		slots:  serving.NewSlots(config.Slots, 0),
		client: serving.NewClient(),
	}
}

// Start begins an incarnation and the heartbeats of it.
func (b *Backend) Start() error {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.stopped || b.server != nil {
		return nil
	}
	instance := fmt.Sprintf("i-%s-%d", strings.ReplaceAll(b.config.Address, ":", "-"), b.starts+1)
	server, err := serving.Listen(b.config.Address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { b.serve(w, r, instance) }))
	if err != nil {
		return err
	}
	b.starts++
	b.instance, b.server = instance, server
	b.draining, b.sequence = false, 0
	go b.beat(instance)
	return nil
}

// Instance returns the name of the present or last incarnation.
func (b *Backend) Instance() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.instance
}

// Crash ends an incarnation at once, with all that it works on. It reports whether it ran.
func (b *Backend) Crash(instance string) bool {
	b.mutex.Lock()
	server := b.server
	running := server != nil && b.instance == instance
	if running {
		b.server = nil
	}
	b.mutex.Unlock()
	if !running {
		return false
	}
	b.config.Observer.Crashed(instance)
	_ = server.Close()
	return true
}

// Drain says that the incarnation leaves, serves on for a time after the node has
// acknowledged it, says goodbye and ends.
func (b *Backend) Drain(serveOn time.Duration) {
	b.mutex.Lock()
	server, instance := b.server, b.instance
	b.draining = true
	b.mutex.Unlock()
	if server == nil {
		return
	}
	if b.send(instance) {
		b.config.Observer.Closed(instance)
	}
	time.Sleep(serveOn)
	b.goodbye(instance)
	b.mutex.Lock()
	if b.server == server {
		b.server = nil
	}
	b.mutex.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), serveOn)
	defer cancel()
	_ = server.Shutdown(ctx)
	_ = server.Close()
}

// Stop ends the stand-in for good.
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

// beat sends the heartbeats of an incarnation until it has ended.
func (b *Backend) beat(instance string) {
	for b.runs(instance) {
		b.send(instance)
		time.Sleep(b.config.Beat)
	}
}

func (b *Backend) runs(instance string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.server != nil && b.instance == instance
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

// send sends one heartbeat and reports whether it was acknowledged.
func (b *Backend) send(instance string) bool {
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
	return err == nil && b.tell(http.MethodPut, instance, string(body))
}

func (b *Backend) goodbye(instance string) { b.tell(http.MethodDelete, instance, "") }

// heartbeatTimeout is the time within which a heartbeat must be acknowledged.
const heartbeatTimeout = time.Second

func (b *Backend) tell(method, instance, body string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+b.config.Heartbeats+pathHeartbeat+instance, strings.NewReader(body))
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

// serve serves a request as one incarnation.
func (b *Backend) serve(w http.ResponseWriter, r *http.Request, instance string) {
	dialect := platform.Dialect()
	requestID := r.Header.Get(dialect.RequestID)
	w.Header().Set(dialect.RequestID, requestID)
	if expected := r.Header.Get(dialect.ExpectInstance); expected != "" && expected != instance {
		w.Header().Set(dialect.Instance, instance)
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
	b.config.Observer.Ran(requestID, instance)
	time.Sleep(b.config.Work)
	if crashes {
		b.Crash(instance)
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

// SealOf is what answers to a request are sealed with.
func SealOf(requestID string) string { return "sealed " + requestID }

// call makes a call of a request and reports whether it succeeded.
func (b *Backend) call(parent *http.Request, path string) bool {
	dialect := platform.Dialect()
	path, rest, _ := strings.Cut(path, ",") // further ones are made deeper
	request, err := http.NewRequestWithContext(parent.Context(), http.MethodGet, "http://"+b.config.Outbound+path, nil)
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
