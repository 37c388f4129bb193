package backend

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/loomcleat/loomcleat/internal/standin/serving"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/wire"
)

// Request headers that control the stub.
const (
	HeaderStatus = "X-Stub-Status" // Status of the response.
	HeaderBytes  = "X-Stub-Bytes"  // Size of the response body in bytes.
	HeaderCut    = "X-Stub-Cut"    // Close the connection in the middle of the body.
	HeaderPause  = "X-Stub-Pause"  // Pause for this duration in the middle of the body.
	HeaderDelay  = "X-Stub-Delay"  // Work for this duration in addition to that of the route.
	HeaderTag    = "X-Stub-Tag"    // Recorded with the run and passed on to calls.
	HeaderChunks = "X-Stub-Chunks" // Send the body in chunks, without Content-Length.
)

// Response headers with the request as the stub received it.
const (
	HeaderSeenTarget = "X-Seen-Target"
	HeaderSeenHost   = "X-Seen-Host"
	HeaderSeenMethod = "X-Seen-Method"
)

// maximumBufferedBody is the size in bytes up to which a request body is read completely first.
// Larger bodies, and those of unknown size, are echoed while they arrive.
const maximumBufferedBody = 64 << 10

// HealthPath is the path of the health check. It responds with status 503 while draining.
const HealthPath = "/_stub/health"

// Run is a request that the stub ran.
type Run struct {
	Tag    string
	Method string
	Target string
	Key    string // Value of the Idempotency-Key header.
}

// Faults are the faults that the stub injects. The zero value injects none.
type Faults struct {
	FailShare float64 // Share of requests, 0 to 1, that fail after they ran, unless cut.
	CutShare  float64 // Share of requests, 0 to 1, whose connection is closed after they ran.
	Draining  bool    // The health check reports draining.
}

// Config configures a Backend.
type Config struct {
	Service Service
	// Address to listen at, IP:port. Default: a free port of 127.0.0.1.
	Address string
	// Outbound is the address of the node that calls are sent to. SetOutbound changes it.
	Outbound string
	// KeepRecord records each run in memory, for Runs.
	KeepRecord bool
}

// Backend is a running stub.
type Backend struct {
	service    Service
	keepRecord bool
	client     *http.Client
	server     *http.Server
	slots      *serving.Slots

	mutex    sync.Mutex
	outbound string
	runs     []Run
	faults   Faults
}

// Start starts a stub. It returns an error if a route of the service cannot be parsed or
// the address is in use.
func Start(config Config) (*Backend, error) {
	service := config.Service
	if err := service.prepare(); err != nil {
		return nil, err
	}
	b := &Backend{
		service:    service,
		keepRecord: config.KeepRecord,
		client:     serving.NewClient(),
		slots:      serving.NewSlots(service.Slots, service.Queue),
		outbound:   config.Outbound,
	}
	address := config.Address
	if address == "" {
		address = "127.0.0.1:0"
	}
	server, err := serving.Listen(address, b)
	if err != nil {
		return nil, err
	}
	b.server = server
	return b, nil
}

// Address returns the address that the stub listens at, IP:port.
func (b *Backend) Address() string { return b.server.Addr }

// Shutdown stops accepting requests and waits for those in flight, at most until ctx is done.
func (b *Backend) Shutdown(ctx context.Context) error { return b.server.Shutdown(ctx) }

// Close stops the stub immediately and closes all connections.
func (b *Backend) Close() { _ = b.server.Close() }

// SetFaults replaces the active faults.
func (b *Backend) SetFaults(faults Faults) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.faults = faults
}

// SetOutbound changes the address that calls are sent to.
func (b *Backend) SetOutbound(address string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.outbound = address
}

// Runs returns the recorded runs in the order in which they began.
func (b *Backend) Runs() []Run {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return append([]Run{}, b.runs...)
}

func (b *Backend) currentFaults() Faults {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.faults
}

func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == HealthPath {
		b.serveHealth(w)
		return
	}
	if r.ContentLength >= 0 && r.ContentLength <= maximumBufferedBody {
		data, err := io.ReadAll(r.Body) // At the first byte of the response the server discards what is unread.
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(data))
	} else {
		_ = http.NewResponseController(w).EnableFullDuplex() // Echo the body while it arrives.
		defer func() { _, _ = io.Copy(io.Discard, r.Body) }()
	}
	release, ok := b.slots.Take(r.Context())
	if !ok {
		http.Error(w, "no slot is free", http.StatusServiceUnavailable)
		return
	}
	defer release()
	b.record(r)
	route := b.service.find(r.Method, r.URL.EscapedPath())
	faults := b.currentFaults()
	b.work(r, route)
	if status, outcome := b.makeCalls(r, route); status != 0 {
		if outcome != "" {
			w.Header().Set(result.HeaderOutcome, outcome) // Copied from the failed call, as a careless back end would.
		}
		http.Error(w, "a call of this back end failed", status)
		return
	}
	switch {
	case rand.Float64() < faults.CutShare:
		panic(http.ErrAbortHandler)
	case rand.Float64() < faults.FailShare:
		http.Error(w, "failed after it ran", http.StatusServiceUnavailable)
	default:
		b.answer(w, r)
	}
}

func (b *Backend) record(r *http.Request) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.keepRecord {
		b.runs = append(b.runs, Run{
			Tag:    r.Header.Get(HeaderTag),
			Method: r.Method,
			Target: r.RequestURI,
			Key:    r.Header.Get(wire.HeaderIdempotencyKey),
		})
	}
}

// work waits for the working time of the route, or until the caller cancels.
func (b *Backend) work(r *http.Request, route *Route) {
	wait := route.Work
	if extra, err := time.ParseDuration(r.Header.Get(HeaderDelay)); err == nil {
		wait += extra
	}
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
}

// makeCalls makes the calls of the route, stage by stage, until one fails. It returns the
// status and the outcome header of the first failed call, or status 0.
func (b *Backend) makeCalls(r *http.Request, route *Route) (status int, outcome string) {
	for _, stage := range route.Stages {
		failures := make(chan *http.Response, len(stage))
		var group sync.WaitGroup
		for _, call := range stage {
			group.Go(func() {
				if response := b.call(r, call); response != nil {
					failures <- response
				}
			})
		}
		group.Wait()
		select {
		case failed := <-failures:
			return failed.StatusCode, failed.Header.Get(result.HeaderOutcome)
		default:
		}
	}
	return 0, ""
}

// call makes one call. It returns the response if the call failed, and nil otherwise.
func (b *Backend) call(r *http.Request, call Call) *http.Response {
	b.mutex.Lock()
	outbound := b.outbound
	b.mutex.Unlock()
	failed := &http.Response{StatusCode: http.StatusBadGateway}
	request, err := http.NewRequestWithContext(r.Context(), call.Method, "http://"+outbound+call.Path, nil)
	if err != nil {
		return failed
	}
	request.Host = call.Service
	request.Header.Set(wire.HeaderToken, r.Header.Get(wire.HeaderToken))
	request.Header.Set(HeaderTag, r.Header.Get(HeaderTag))
	response, err := b.client.Do(request)
	if err != nil {
		return failed
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	if err != nil || response.StatusCode >= http.StatusBadRequest {
		return response
	}
	return nil
}

// answer echoes the body of the request, or sends a body of the size in HeaderBytes.
func (b *Backend) answer(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderSeenTarget, r.RequestURI)
	w.Header().Set(HeaderSeenHost, r.Host)
	w.Header().Set(HeaderSeenMethod, r.Method)
	if tag := r.Header.Get(HeaderTag); tag != "" {
		w.Header().Set(HeaderTag, tag)
	}
	status := http.StatusOK
	if requested, err := strconv.Atoi(r.Header.Get(HeaderStatus)); err == nil {
		status = requested
	}
	size, err := strconv.Atoi(r.Header.Get(HeaderBytes))
	if err != nil {
		w.WriteHeader(status)
		_, _ = io.Copy(flushWriter{w}, r.Body)
		return
	}
	b.sendBytes(w, r, status, size)
}

// sendBytes sends a body of the given size, cut off or paused in the middle on request.
func (b *Backend) sendBytes(w http.ResponseWriter, r *http.Request, status, size int) {
	if r.Header.Get(HeaderChunks) == "" {
		w.Header().Set("Content-Length", strconv.Itoa(size))
	}
	w.WriteHeader(status)
	body := strings.Repeat("0123456789abcdef", size/16+1)[:size]
	if r.Header.Get(HeaderCut) != "" {
		_, _ = io.WriteString(w, body[:size/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	if pause, err := time.ParseDuration(r.Header.Get(HeaderPause)); err == nil {
		_, _ = io.WriteString(w, body[:size/2])
		_ = http.NewResponseController(w).Flush()
		time.Sleep(pause)
		body = body[size/2:]
	}
	_, _ = io.WriteString(w, body)
}

// flushWriter flushes after each write, so that the echo isn't buffered.
type flushWriter struct {
	w http.ResponseWriter
}

func (f flushWriter) Write(data []byte) (int, error) {
	n, err := f.w.Write(data)
	_ = http.NewResponseController(f.w).Flush()
	return n, err
}

func (b *Backend) serveHealth(w http.ResponseWriter) {
	if b.currentFaults().Draining {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok")
}
