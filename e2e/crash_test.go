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

// Paths of requests which end every back end that runs them.
const (
	crashingPath     = "/front/crash"
	lateCrashingPath = "/front/crash-late" // in the middle of the answer
)

// Times of the back ends of these tests.
const (
	crashAfter   = 30 * time.Millisecond  // from the arrival of the request to the end
	restartAfter = 300 * time.Millisecond // from the end to the next incarnation
	usualWork    = 20 * time.Millisecond
	// knownAfter is the time from the third end to when every node must know of it.
	knownAfter = 3 * time.Second
)

// crashingBackend is a back end that ends when it runs the crashing request, with all
// that it works on, and comes back as another incarnation.
type crashingBackend struct {
	t       *testing.T
	node    *platformNode
	address string
	starts  int
	stub    *metastore.Server

	mutex   sync.Mutex
	server  *httptest.Server
	crashes []time.Time
	reached []time.Time // when the crashing request arrived
}

// startCrashingBackends starts nodes of the service "front", each beside a back end.
func startCrashingBackends(t *testing.T, count int) []*crashingBackend {
	t.Helper()
	is := is.New(t)
	stub := metastore.NewServer()
	store := httptest.NewServer(stub.Handler())
	t.Cleanup(store.Close)
	stub.Put("op/config", platformConfiguration(3, "front"))
	backends := []*crashingBackend{}
	for range count {
		b := &crashingBackend{t: t, address: freePort(t), node: newPlatformNode(t, "front"), stub: stub}
		b.begin()
		b.node.startBeside(t, store.URL, b.address)
		t.Cleanup(b.close)
		backends = append(backends, b)
	}
	for _, b := range backends {
		eventually(t, "readiness", func() bool { return b.node.ready() == http.StatusOK })
		is.Equal(b.node.beat("ready"), http.StatusOK)
		b.node.served(t, "/front/x", "")
	}
	return backends
}

// begin starts an incarnation.
func (b *crashingBackend) begin() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.starts++
	b.node.setInstance(fmt.Sprintf("i-%s-%d", b.address, b.starts))
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

func (b *crashingBackend) serve(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case crashingPath:
	case lateCrashingPath:
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("Content-Length", "64000")
		_, _ = w.Write(make([]byte, 32000))
	default:
		time.Sleep(usualWork)
		b.node.serveBackend(w, r)
		return
	}
	b.mutex.Lock()
	b.reached = append(b.reached, time.Now())
	server := b.server
	b.mutex.Unlock()
	time.Sleep(crashAfter)
	b.crash(server)
	<-r.Context().Done()
}

// crash ends an incarnation at once and begins the next one a while later.
func (b *crashingBackend) crash(server *httptest.Server) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.server != server {
		return // another request has ended it
	}
	b.server = nil
	b.crashes = append(b.crashes, time.Now())
	_ = server.Listener.Close()
	server.CloseClientConnections()
	time.AfterFunc(restartAfter, func() {
		b.begin()
		b.node.beat("ready")
	})
}

func (b *crashingBackend) close() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.server != nil {
		b.server.CloseClientConnections()
	}
}

// crashesOf returns the number of ends of all back ends, and when the third one was.
func crashesOf(backends []*crashingBackend) (count int, third time.Time) {
	ends := []time.Time{}
	for _, b := range backends {
		b.mutex.Lock()
		ends = append(ends, b.crashes...)
		b.mutex.Unlock()
	}
	slices.SortFunc(ends, time.Time.Compare)
	if len(ends) < 3 {
		return len(ends), time.Time{}
	}
	return len(ends), ends[2]
}

// reachedAfter counts the arrivals of the crashing request after a time.
func reachedAfter(backends []*crashingBackend, moment time.Time) int {
	count := 0
	for _, b := range backends {
		b.mutex.Lock()
		for _, at := range b.reached {
			if at.After(moment) {
				count++
			}
		}
		b.mutex.Unlock()
	}
	return count
}

// sendAgainAndAgain sends a crashing request to each node in turn for a time, as a
// caller does that gets no answer, and returns how often it was refused as not run.
func sendAgainAndAgain(backends []*crashingBackend, path string, duration time.Duration) (refused int) {
	end := time.Now().Add(duration)
	for i := 0; time.Now().Before(end); i++ {
		if backends[i%len(backends)].node.get(path, "").status == http.StatusServiceUnavailable {
			refused++
		}
		time.Sleep(100 * time.Millisecond)
	}
	return refused
}

// sendOthers keeps other requests in flight at every node until it is told to stop, which
// returns how many of them were refused for crashing back ends.
func sendOthers(backends []*crashingBackend) (stop func() int) {
	quarantined := atomic.Int64{}
	stopped := make(chan struct{})
	senders := sync.WaitGroup{}
	for i, b := range backends {
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

// TestARequestThatCrashesBackEndsIsStopped
//
// Symptom: all back ends of a service end within a fraction of a second, are back after
// some seconds, and end again, for as long as one caller goes on. The other requests of
// the service are lost or refused meanwhile; other services go on.
//
// Sequence: a request ends the back end that runs it. Its node sees a broken connection.
// The process where it entered repeats it at the next back end, which ends as well; its
// caller tries again at another machine, under another id, and so on.
//
// Cause: a broken connection was taken for a fault of the back end alone. Nothing was
// remembered of the request, neither by the process that repeats it nor by the nodes
// beside the back ends, and each try of the caller began anew.
//
// What settled it: the lines backend-crashed (419) of the nodes, in which the same
// signature stands for every incarnation that ended, while the others change.
func TestARequestThatCrashesBackEndsIsStopped(t *testing.T) {
	for _, path := range []string{crashingPath, lateCrashingPath} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			backends := startCrashingBackends(t, 4)
			stopBystanders := sendOthers(backends)
			refused := sendAgainAndAgain(backends, path, 2*knownAfter)
			is.Equal(stopBystanders(), 0) // none was taken for the one that crashes
			count, third := crashesOf(backends)
			is.True(count >= 3)                                        // it does crash them
			is.Equal(reachedAfter(backends, third.Add(knownAfter)), 0) // and is known everywhere in time
			is.True(count <= 8)                                        // 3, and what was on its way meanwhile
			is.True(refused > 0)                                       // as not run

			// The other requests of the service are served.
			for _, b := range backends {
				b.node.served(t, "/front/x", "")
				is.True(!strings.Contains(b.node.log.String(), "request-panic"))
			}
		})
	}
}

// crashThree sends the crashing request until three back ends have ended, and waits until
// it is refused everywhere and all back ends are there again.
func crashThree(t *testing.T, backends []*crashingBackend) {
	t.Helper()
	eventually(t, "three back ends to end", func() bool {
		backends[0].node.get(crashingPath, "")
		count, _ := crashesOf(backends)
		return count >= 3
	})
	for _, b := range backends {
		b.node.served(t, "/front/x", "")
		eventually(t, "the request to be refused", func() bool {
			return b.node.get(crashingPath, "").status == http.StatusServiceUnavailable
		})
	}
	time.Sleep(knownAfter) // what is written to the store may take a moment
}

// TestAQuarantineOutlastsRestarts: a node that is started again learns from its peers what
// crashes back ends, also while the store is silent, and all that are started anew learn
// it from the store. Each knowing nothing, they would lose three more back ends.
func TestAQuarantineOutlastsRestarts(t *testing.T) {
	is := is.New(t)
	backends := startCrashingBackends(t, 3)
	crashThree(t, backends)
	before, _ := crashesOf(backends)
	refusedBy := func(b *crashingBackend) {
		eventually(t, "readiness", func() bool { return b.node.ready() == http.StatusOK })
		is.Equal(b.node.beat("ready"), http.StatusOK)
		b.node.served(t, "/front/x", "")
		time.Sleep(knownAfter)
		is.Equal(b.node.get(crashingPath, "").status, http.StatusServiceUnavailable)
	}

	stub := backends[0].stub
	stub.SetFaults(metastore.Faults{Silent: true})
	backends[0].node.kill()
	backends[0].node.startAgain()
	refusedBy(backends[0])
	stub.SetFaults(metastore.Faults{})

	for _, b := range backends {
		b.node.kill()
	}
	for _, b := range backends {
		b.node.startAgain()
	}
	for _, b := range backends {
		refusedBy(b)
	}
	after, _ := crashesOf(backends)
	is.Equal(after, before) // no back end was lost by it
}
