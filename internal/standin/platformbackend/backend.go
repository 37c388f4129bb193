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
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/loomcleat/loomcleat/internal/standin/serving"
)

// Request headers that control the stub, and a header of its responses.
const (
	HeaderCall  = "Stub-Call"  // Paths, separated by commas: call the first before responding, and pass on the others.
	HeaderCrash = "Stub-Crash" // Crash when running this request.
	HeaderSeal  = "Stub-Seal"  // Set on successful responses to SealOf of the request id.
)

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
	// Heartbeats arrive so much later than they are sent.
	heartbeatDelay time.Duration
	// The incarnation has deregistered and sends no more heartbeats.
	deregistered bool
	shedding     shedding
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
	b.heartbeatDelay, b.deregistered = 0, false
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

// DelayHeartbeats makes the heartbeats that the current incarnation sends from now on arrive late.
func (b *Backend) DelayHeartbeats(delay time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.heartbeatDelay = delay
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
	server, incarnation := b.beginLeaving(func() { b.draining = true })
	if server == nil {
		return
	}
	if b.sendHeartbeat(incarnation) {
		b.config.Observer.DrainAcknowledged(incarnation)
	}
	time.Sleep(grace)
	b.deregister()
	b.shutDown(server)
}

// Deregister stops the incarnation gracefully without a heartbeat that says so: it deregisters first,
// keeps serving for a grace period and shuts down.
func (b *Backend) Deregister(grace time.Duration) {
	server, incarnation := b.beginLeaving(func() { b.deregistered = true })
	if server == nil {
		return
	}
	if b.deregister() {
		b.config.Observer.DrainAcknowledged(incarnation)
	}
	time.Sleep(grace)
	b.shutDown(server)
}

// LeaveByAnswers is Drain for an incarnation that declares in its answers only that it is leaving.
func (b *Backend) LeaveByAnswers(grace time.Duration) {
	server, _ := b.beginLeaving(func() { b.leaving = leavingUndeclared })
	if server == nil {
		return
	}
	time.Sleep(grace)
	b.deregister()
	b.shutDown(server)
}

// beginLeaving marks the incarnation as leaving and returns its server, nil if none runs, and its name.
func (b *Backend) beginLeaving(mark func()) (server *http.Server, incarnation string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	mark()
	return b.server, b.incarnation
}

// shutDown ends an incarnation.
func (b *Backend) shutDown(server *http.Server) {
	b.mutex.Lock()
	if b.server == server {
		b.server = nil
	}
	b.mutex.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), shutDownTime)
	defer cancel()
	_ = server.Shutdown(ctx)
	_ = server.Close()
}

// shutDownTime is how long an incarnation that ends waits for the requests in flight.
const shutDownTime = 4 * time.Second

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
