package e2e

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/internal/standin/metastore"
	"github.com/loomcleat/loomcleat/result"
)

// Paths of requests that crash every back end that executes them.
const (
	crashingPath     = "/front/crash"
	lateCrashingPath = "/front/crash-late" // crashes in the middle of the answer
)

// Delays of the crashing back ends.
const (
	crashDelay     = 30 * time.Millisecond  // from the arrival of the request to the crash
	restartDelay   = 300 * time.Millisecond // from the crash to the next incarnation
	processingTime = 20 * time.Millisecond
	// propagationTime is the time within which every node must refuse the request after
	// the third crash.
	propagationTime = 3 * time.Second
)

// crashingBackEnd is a back end that crashes when it executes the crashing request. All
// requests in flight are lost, and it restarts as a new incarnation.
type crashingBackEnd struct {
	t       *testing.T
	node    *platformNode
	address string
	starts  int
	stub    *metastore.Server

	mutex    sync.Mutex
	server   *httptest.Server
	crashes  []time.Time
	arrivals []time.Time // of the crashing request
}

// startCrashingBackEnds starts nodes of the service "front", each with its back end,
// and waits until they serve requests.
func startCrashingBackEnds(t *testing.T, count int) []*crashingBackEnd {
	t.Helper()
	stub := metastore.NewServer()
	store := httptest.NewServer(stub.Handler())
	t.Cleanup(store.Close)
	stub.Put("op/config", platformConfiguration(3, "front"))
	backEnds := []*crashingBackEnd{}
	for range count {
		b := &crashingBackEnd{t: t, address: freePort(t), node: newPlatformNode(t, "front"), stub: stub}
		b.startServer()
		b.node.startWithBackEnd(t, store.URL, b.address)
		t.Cleanup(b.close)
		backEnds = append(backEnds, b)
	}
	for _, b := range backEnds {
		b.node.awaitReady(t)
		b.node.getUntilServed(t, "/front/x", "")
	}
	return backEnds
}

// startServer starts a new incarnation.
func (b *crashingBackEnd) startServer() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.starts++
	b.node.setIncarnation(fmt.Sprintf("i-%s-%d", b.address, b.starts))
	listener, err := net.Listen("tcp", b.address)
	if err != nil {
		b.t.Errorf("restarting a back end: %v", err)
		return
	}
	b.server = httptest.NewUnstartedServer(http.HandlerFunc(b.serve))
	_ = b.server.Listener.Close()
	b.server.Listener = listener
	b.server.Start()
}

func (b *crashingBackEnd) serve(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case crashingPath:
	case lateCrashingPath:
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("Content-Length", "64000")
		_, _ = w.Write(make([]byte, 32000))
	default:
		time.Sleep(processingTime)
		b.node.serveBackEnd(w, r)
		return
	}
	b.mutex.Lock()
	b.arrivals = append(b.arrivals, time.Now())
	server := b.server
	b.mutex.Unlock()
	time.Sleep(crashDelay)
	b.crash(server)
	<-r.Context().Done()
}

// crash stops an incarnation abruptly and starts the next one after restartDelay.
func (b *crashingBackEnd) crash(server *httptest.Server) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.server != server {
		return // already crashed by another request
	}
	b.server = nil
	b.crashes = append(b.crashes, time.Now())
	_ = server.Listener.Close()
	server.CloseClientConnections()
	time.AfterFunc(restartDelay, func() {
		b.startServer()
		b.node.sendHeartbeat("ready")
	})
}

func (b *crashingBackEnd) close() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.server != nil {
		b.server.CloseClientConnections()
	}
}

// countCrashes returns the number of crashes of all back ends and the time of the third.
func countCrashes(backEnds []*crashingBackEnd) (count int, third time.Time) {
	crashTimes := []time.Time{}
	for _, b := range backEnds {
		b.mutex.Lock()
		crashTimes = append(crashTimes, b.crashes...)
		b.mutex.Unlock()
	}
	slices.SortFunc(crashTimes, time.Time.Compare)
	if len(crashTimes) < 3 {
		return len(crashTimes), time.Time{}
	}
	return len(crashTimes), crashTimes[2]
}

// countArrivalsAfter returns how often the crashing request reached a back end after a time.
func countArrivalsAfter(backEnds []*crashingBackEnd, moment time.Time) int {
	count := 0
	for _, b := range backEnds {
		b.mutex.Lock()
		for _, at := range b.arrivals {
			if at.After(moment) {
				count++
			}
		}
		b.mutex.Unlock()
	}
	return count
}

// sendRepeatedly sends a crashing request to the nodes in turn for a duration, like a
// caller that retries, and returns how often it was refused with status 503.
func sendRepeatedly(backEnds []*crashingBackEnd, path string, duration time.Duration) (refused int) {
	end := time.Now().Add(duration)
	for i := 0; time.Now().Before(end); i++ {
		if backEnds[i%len(backEnds)].node.get(path, "").status == http.StatusServiceUnavailable {
			refused++
		}
		time.Sleep(100 * time.Millisecond)
	}
	return refused
}

// startOtherRequests keeps a harmless request in flight at every node until stop is called,
// which returns how many of them were refused as quarantined.
func startOtherRequests(backEnds []*crashingBackEnd) (stop func() int) {
	quarantined := atomic.Int64{}
	stopped := make(chan struct{})
	senders := sync.WaitGroup{}
	for i, b := range backEnds {
		senders.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stopped:
					return
				default:
				}
				answer := b.node.get(fmt.Sprintf("/front/%d/%d", i, n), "")
				if strings.Contains(answer.body, result.RequestQuarantined.Definition().Name) {
					quarantined.Add(1)
				}
			}
		})
	}
	return func() int {
		close(stopped)
		senders.Wait()
		return int(quarantined.Load())
	}
}

// TestCrashingRequestIsQuarantined guards against a request that crashes one back end after
// another as the mesh and its caller retry it under new ids.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	for _, path := range []string{crashingPath, lateCrashingPath} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			backEnds := startCrashingBackEnds(t, 4)
			stopOthers := startOtherRequests(backEnds)
			refused := sendRepeatedly(backEnds, path, 2*propagationTime)
			is.Equal(stopOthers(), 0) // other requests are not quarantined
			count, third := countCrashes(backEnds)
			is.True(count >= 3)                                                   // the request crashes back ends
			is.Equal(countArrivalsAfter(backEnds, third.Add(propagationTime)), 0) // every node refuses it within propagationTime
			is.True(count <= 8)                                                   // three, and those in flight until the quarantine took effect
			is.True(refused > 0)                                                  // the caller is refused

			// Other requests of the service are served.
			for _, b := range backEnds {
				b.node.getUntilServed(t, "/front/x", "")
				is.True(!strings.Contains(b.node.log.String(), "request-panic"))
			}
		})
	}
}

// crashThreeBackEnds sends the crashing request until three back ends have crashed. It then
// waits until all back ends serve again and every node refuses the request.
func crashThreeBackEnds(t *testing.T, backEnds []*crashingBackEnd) {
	t.Helper()
	eventually(t, "three back ends to crash", func() bool {
		backEnds[0].node.get(crashingPath, "")
		count, _ := countCrashes(backEnds)
		return count >= 3
	})
	for _, b := range backEnds {
		b.node.getUntilServed(t, "/front/x", "")
		eventually(t, "the request to be refused", func() bool {
			return b.node.get(crashingPath, "").status == http.StatusServiceUnavailable
		})
	}
	time.Sleep(propagationTime) // lets the nodes write the quarantine to the store
}

// TestQuarantineSurvivesRestarts checks that a restarted node receives the quarantine from
// its peers while the store is silent, and that it is read from the store after all nodes
// restart. Without it, the request would crash three more back ends.
func TestQuarantineSurvivesRestarts(t *testing.T) {
	is := is.New(t)
	backEnds := startCrashingBackEnds(t, 3)
	crashThreeBackEnds(t, backEnds)
	before, _ := countCrashes(backEnds)
	requireRefused := func(b *crashingBackEnd) {
		b.node.awaitReady(t)
		b.node.getUntilServed(t, "/front/x", "")
		time.Sleep(propagationTime)
		is.Equal(b.node.get(crashingPath, "").status, http.StatusServiceUnavailable)
	}

	stub := backEnds[0].stub
	stub.SetFaults(metastore.Faults{Silent: true})
	backEnds[0].node.kill()
	backEnds[0].node.restart()
	requireRefused(backEnds[0])
	stub.SetFaults(metastore.Faults{})

	for _, b := range backEnds {
		b.node.kill()
	}
	for _, b := range backEnds {
		b.node.restart()
	}
	for _, b := range backEnds {
		requireRefused(b)
	}
	after, _ := countCrashes(backEnds)
	is.Equal(after, before) // no further back end crashed
}
