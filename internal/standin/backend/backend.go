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

// Request headers that tell the stand-in what to do.
const (
	HeaderStatus = "X-Stub-Status" // answer with this status
	HeaderBytes  = "X-Stub-Bytes"  // answer with a body of this many bytes
	HeaderCut    = "X-Stub-Cut"    // break the connection in the middle of the body
	HeaderPause  = "X-Stub-Pause"  // wait this long in the middle of the body
	HeaderDelay  = "X-Stub-Delay"  // work this much longer
	HeaderTag    = "X-Stub-Tag"    // kept in the record and passed on to calls
	HeaderChunks = "X-Stub-Chunks" // send the body in chunks of unknown total
)

// Answer headers that tell what the stand-in saw.
const (
	HeaderSeenTarget = "X-Seen-Target"
	HeaderSeenHost   = "X-Seen-Host"
	HeaderSeenMethod = "X-Seen-Method"
)

// streamedSize is the size from which on bodies are echoed while they arrive.
const streamedSize = 64 << 10

// HealthPath is the path on which the stand-in says that it is draining.
const HealthPath = "/_stub/health"

// Run is one request that the stand-in ran.
type Run struct {
	Tag    string
	Method string
	Target string
	Key    string // Idempotency-Key
}

// Faults says how the stand-in misbehaves. The zero value is a healthy one.
type Faults struct {
	FailShare float64 // share of requests that fail after they ran
	CutShare  float64 // share whose answer is cut off after they ran
	Draining  bool    // says so on the health path
}

// Config configures a Backend.
type Config struct {
	Service Service
	// Address is where it listens, IP:port. Default a free port of 127.0.0.1.
	Address string
	// Outbound is the address of its node, for calls. SetOutbound sets it later.
	Outbound string
	// KeepRecord keeps each run in memory.
	KeepRecord bool
}

// Backend is a stand-in that serves.
type Backend struct {
	service Service
	keep    bool
	client  *http.Client
	server  *http.Server
	slots   *serving.Slots

	mutex    sync.Mutex
	outbound string
	runs     []Run
	faults   Faults
}

// Start starts a stand-in. It returns an error when a route of the service cannot be
// parsed or the address is not free.
func Start(config Config) (*Backend, error) {
	service := config.Service
	if err := service.prepare(); err != nil {
		return nil, err
	}
	b := &Backend{
		service:  service,
		keep:     config.KeepRecord,
		client:   serving.NewClient(),
		slots:    serving.NewSlots(service.Slots, service.Queue),
		outbound: config.Outbound,
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

// Address returns where the stand-in listens.
func (b *Backend) Address() string { return b.server.Addr }

// Shutdown takes no new requests and waits until the others have ended, or ctx has.
func (b *Backend) Shutdown(ctx context.Context) error { return b.server.Shutdown(ctx) }

// Close ends the stand-in at once.
func (b *Backend) Close() { _ = b.server.Close() }

// SetFaults replaces the faults in force.
func (b *Backend) SetFaults(faults Faults) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.faults = faults
}

// SetOutbound changes the address for calls.
func (b *Backend) SetOutbound(address string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.outbound = address
}

// Runs returns the record.
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

// ServeHTTP implements http.Handler.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == HealthPath {
		b.serveHealth(w)
		return
	}
	if r.ContentLength >= 0 && r.ContentLength <= streamedSize {
		data, err := io.ReadAll(r.Body) // the server would discard it at the first byte of the answer
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(data))
	} else {
		_ = http.NewResponseController(w).EnableFullDuplex() // echo while the request is open
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
			w.Header().Set(result.HeaderOutcome, outcome) // as a careless back end would
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
	if b.keep {
		b.runs = append(b.runs, Run{
			Tag:    r.Header.Get(HeaderTag),
			Method: r.Method,
			Target: r.RequestURI,
			Key:    r.Header.Get(wire.HeaderIdempotencyKey),
		})
	}
}

// work takes the time of the route. It ends early when the caller cancels.
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

// makeCalls makes the calls of the route. It returns the status of the first
// that failed, 0 for none, and the outcome header that came with it.
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

// call makes one call and returns the response when it failed.
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
	request.Header.Set(wire.HeaderContext, r.Header.Get(wire.HeaderContext))
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

// answer echoes the body of the request, or sends what the headers ask for.
func (b *Backend) answer(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderSeenTarget, r.RequestURI)
	w.Header().Set(HeaderSeenHost, r.Host)
	w.Header().Set(HeaderSeenMethod, r.Method)
	if tag := r.Header.Get(HeaderTag); tag != "" {
		w.Header().Set(HeaderTag, tag)
	}
	status := http.StatusOK
	if wanted, err := strconv.Atoi(r.Header.Get(HeaderStatus)); err == nil {
		status = wanted
	}
	size, err := strconv.Atoi(r.Header.Get(HeaderBytes))
	if err != nil {
		w.WriteHeader(status)
		_, _ = io.Copy(flushWriter{w}, r.Body)
		return
	}
	b.sendBytes(w, r, status, size)
}

// sendBytes sends a body of the given size, whole or cut.
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

// flushWriter sends each piece at once, so that streams pass through.
type flushWriter struct {
	w http.ResponseWriter
}

// Write implements io.Writer.
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
