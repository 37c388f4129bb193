package lab

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/loomcleat/loomcleat/result"
)

// LoadConfig configures RunLoad.
type LoadConfig struct {
	Target      string        // base URL of a gateway
	Requests    []LoadRequest // sent round-robin
	Concurrency int           // number of concurrent clients, each with one request in flight
	Duration    time.Duration
}

// LoadRequest is one kind of request.
type LoadRequest struct {
	Service string // value of the Host header
	Method  string
	Path    string
}

// Summary holds the results of a load run. Latencies are those of completed requests.
// RunLoad does not set Retries.
type Summary struct {
	Requests  int     `json:"requests"`
	Completed int     `json:"completed"`
	Refused   int     `json:"refused"` // reported as not run
	Failed    int     `json:"failed"`
	Retries   int64   `json:"retries"`
	P50       float64 `json:"p50_ms"`
	P99       float64 `json:"p99_ms"`
	Seconds   float64 `json:"seconds"`
}

// Bounds of the latency histogram in microseconds, and its significant digits.
const (
	lowestLatency  = 1
	highestLatency = 60_000_000
	latencyDigits  = 3
)

// loadGenerator sends requests and collects their outcomes.
type loadGenerator struct {
	mutex     sync.Mutex
	summary   Summary
	histogram *hdrhistogram.Histogram
}

// RunLoad sends requests until the duration has passed or ctx is done, and waits for those
// in flight.
func RunLoad(ctx context.Context, config LoadConfig) Summary {
	ctx, cancel := context.WithTimeout(ctx, config.Duration)
	defer cancel()
	transport := &http.Transport{MaxIdleConnsPerHost: config.Concurrency, DisableCompression: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	l := &loadGenerator{histogram: hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)}
	started := time.Now()
	var group sync.WaitGroup
	for index := range config.Concurrency {
		group.Go(func() { l.runClient(ctx, client, config, index) })
	}
	group.Wait()
	l.summary.Seconds = time.Since(started).Seconds()
	l.summary.P50 = float64(l.histogram.ValueAtQuantile(50)) / 1000
	l.summary.P99 = float64(l.histogram.ValueAtQuantile(99)) / 1000
	return l.summary
}

// runClient sends requests one after the other until ctx is done, starting with the
// request at index.
func (l *loadGenerator) runClient(ctx context.Context, client *http.Client, config LoadConfig, index int) {
	for i := index; ctx.Err() == nil; i++ {
		spec := config.Requests[i%len(config.Requests)]
		started := time.Now()
		// Requests in flight are not cancelled when the load ends.
		request, err := http.NewRequestWithContext(context.WithoutCancel(ctx), spec.Method, config.Target+spec.Path, nil)
		if err != nil {
			return
		}
		request.Host = spec.Service
		response, err := client.Do(request)
		l.record(response, err, started)
	}
}

func (l *loadGenerator) record(response *http.Response, err error, started time.Time) {
	refused := false
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		refused = response.Header.Get(result.HeaderOutcome) == result.OutcomeNotRun
	}
	latency := time.Since(started)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.summary.Requests++
	switch {
	case refused:
		l.summary.Refused++
	case err != nil || response.StatusCode >= http.StatusInternalServerError:
		l.summary.Failed++
	default:
		l.summary.Completed++
		_ = l.histogram.RecordValue(max(latency.Microseconds(), lowestLatency))
	}
}

// Text returns the summary as one line of text.
func (s Summary) Text() string {
	return "requests " + strconv.Itoa(s.Requests) +
		", completed " + strconv.Itoa(s.Completed) +
		", refused " + strconv.Itoa(s.Refused) +
		", failed " + strconv.Itoa(s.Failed) +
		", retries " + strconv.FormatInt(s.Retries, 10) +
		", p50 " + strconv.FormatFloat(s.P50, 'f', 2, 64) + " ms" +
		", p99 " + strconv.FormatFloat(s.P99, 'f', 2, 64) + " ms"
}
