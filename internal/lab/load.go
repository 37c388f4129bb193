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

// LoadConfig describes a bounded load.
type LoadConfig struct {
	Target      string        // base URL of a gateway
	Requests    []LoadRequest // used in turn
	Concurrency int           // callers at once
	Duration    time.Duration
}

// LoadRequest is one kind of request.
type LoadRequest struct {
	Service string // the Host
	Method  string
	Path    string
}

// Summary is the outcome of a load.
type Summary struct {
	Requests  int     `json:"requests"`
	Completed int     `json:"completed"`
	Refused   int     `json:"refused"` // not run, told so
	Failed    int     `json:"failed"`
	Retries   int64   `json:"retries"`
	P50       float64 `json:"p50_ms"`
	P99       float64 `json:"p99_ms"`
	Seconds   float64 `json:"seconds"`
}

// Bounds of the latency histogram, in microseconds.
const (
	lowestLatency  = 1
	highestLatency = 60_000_000
	latencyDigits  = 3
)

// loader collects the outcomes of callers.
type loader struct {
	mutex     sync.Mutex
	summary   Summary
	histogram *hdrhistogram.Histogram
}

// RunLoad sends requests until the duration has passed or ctx ends.
func RunLoad(ctx context.Context, config LoadConfig) Summary {
	ctx, cancel := context.WithTimeout(ctx, config.Duration)
	defer cancel()
	transport := &http.Transport{MaxIdleConnsPerHost: config.Concurrency, DisableCompression: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	l := &loader{histogram: hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)}
	started := time.Now()
	var group sync.WaitGroup
	for caller := range config.Concurrency {
		group.Go(func() { l.call(ctx, client, config, caller) })
	}
	group.Wait()
	l.summary.Seconds = time.Since(started).Seconds()
	l.summary.P50 = float64(l.histogram.ValueAtQuantile(50)) / 1000
	l.summary.P99 = float64(l.histogram.ValueAtQuantile(99)) / 1000
	return l.summary
}

// call is one caller.
func (l *loader) call(ctx context.Context, client *http.Client, config LoadConfig, offset int) {
	for i := offset; ctx.Err() == nil; i++ {
		wanted := config.Requests[i%len(config.Requests)]
		started := time.Now()
		// A request that has been started is not cut off at the end.
		request, err := http.NewRequestWithContext(context.WithoutCancel(ctx), wanted.Method, config.Target+wanted.Path, nil)
		if err != nil {
			return
		}
		request.Host = wanted.Service
		response, err := client.Do(request)
		l.record(response, err, started)
	}
}

func (l *loader) record(response *http.Response, err error, started time.Time) {
	refused := false
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		refused = response.Header.Get(result.HeaderOutcome) == result.OutcomeNotRun
	}
	taken := time.Since(started)
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
		_ = l.histogram.RecordValue(max(taken.Microseconds(), lowestLatency))
	}
}

// Text shows a summary for people.
func (s Summary) Text() string {
	return "requests " + strconv.Itoa(s.Requests) +
		", completed " + strconv.Itoa(s.Completed) +
		", refused " + strconv.Itoa(s.Refused) +
		", failed " + strconv.Itoa(s.Failed) +
		", retries " + strconv.FormatInt(s.Retries, 10) +
		", p50 " + strconv.FormatFloat(s.P50, 'f', 2, 64) + " ms" +
		", p99 " + strconv.FormatFloat(s.P99, 'f', 2, 64) + " ms"
}
