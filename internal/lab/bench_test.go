package lab

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/loomcleat/loomcleat/internal/standin/backend"
	"github.com/loomcleat/loomcleat/policy"
)

// BenchmarkCall compares calls to a back end through a gateway and a node with direct
// calls, at 1 and at 64 callers. Everything runs in one program, so the processor time of
// the back end and of the callers is included in both.
func BenchmarkCall(b *testing.B) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	graph := backend.Graph{"s0": {}}
	// No call may be refused, since the added latency is measured.
	highLimits := []policy.Change{{Path: "/", Key: "concurrency_min", Value: "100"}, {Path: "/", Key: "queue_time", Value: "5s"}}
	mesh, err := StartMesh(ctx, MeshConfig{Graph: graph, Backends: 1, Gateways: 1, Policy: highLimits})
	if err != nil {
		b.Fatal(err)
	}
	defer mesh.Close()
	targets := []struct{ name, address string }{
		{"direct", mesh.Nodes[0].Process.Settings.Backend},
		{"through", mesh.Gateways[0].TrafficAddress()},
	}
	for _, callers := range []int{1, 64} {
		for _, target := range targets {
			b.Run(fmt.Sprintf("%s/callers=%d", target.name, callers), func(b *testing.B) {
				benchmarkCalls(b, target.address, callers)
			})
		}
	}
}

func benchmarkCalls(b *testing.B, address string, callers int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers, DisableCompression: true}}
	histogram := hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)
	var mutex sync.Mutex
	var group sync.WaitGroup
	b.ReportAllocs()
	b.ResetTimer()
	for caller := range callers {
		group.Go(func() {
			for range (b.N + callers - 1 - caller) / callers {
				started := time.Now()
				request, err := http.NewRequest(http.MethodGet, "http://"+address+"/x", nil)
				if err != nil {
					b.Error(err)
					return
				}
				request.Host = "s0"
				response, err := client.Do(request)
				if err != nil {
					b.Error(err)
					return
				}
				_, _ = io.Copy(io.Discard, response.Body)
				response.Body.Close()
				if response.StatusCode != http.StatusOK {
					b.Errorf("response status %d, want 200", response.StatusCode)
					return
				}
				mutex.Lock()
				_ = histogram.RecordValue(time.Since(started).Microseconds())
				mutex.Unlock()
			}
		})
	}
	group.Wait()
	b.ReportMetric(float64(histogram.ValueAtQuantile(50)), "p50-us")
	b.ReportMetric(float64(histogram.ValueAtQuantile(99)), "p99-us")
}
