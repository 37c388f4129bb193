package soak

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/loomcleat/loomcleat/internal/standin/metastore"
)

// What the fleet runs.
const (
	host         = "soak.example"
	backendSlots = 32
	backendWork  = 10 * time.Millisecond
	backendBeat  = 300 * time.Millisecond
	stopWithin   = 3 * time.Second
	// backAfter is the time after which a back end that has crashed is there again.
	backAfter = time.Second
)

// services are called by each other in this order: requests are three deep.
var services = []string{"front", "middle", "deep"}

// configuration returns routes to all services, and one to "middle" whose requests may run
// at most once.
func configuration(version int) []byte {
	routes := []string{}
	for _, service := range services {
		routes = append(routes, fmt.Sprintf(
			`{"name":%q,"path_prefix":"/%s/","type":"safe","timeout":"3s","target_latency":"500ms","priority":1,"service":%q,"max_attempts":2}`, service, service, service))
	}
	routes = append(routes, `{"name":"pay","path_prefix":"/pay/","type":"unsafe","timeout":"3s","target_latency":"500ms","priority":0,"service":"middle","max_attempts":1}`)
	return fmt.Appendf(nil, `{"version":%d,"hosts":[{"host":%q,"paths":[%s]}]}`, version, host, strings.Join(routes, ","))
}

// fleet is all that a soak runs.
type fleet struct {
	config  Config
	checker *Checker
	store   *metastore.Server
	server  *httptest.Server
	nodes   []*node

	mutex        sync.Mutex
	lastFault    time.Time // end of the last unplanned fault
	activeFaults int       // unplanned ones that go on
	version      int       // of the configuration
	closing      bool
}

// newFleet starts everything. It does not wait until it serves.
func newFleet(config Config, checker *Checker) (*fleet, error) {
	f := &fleet{config: config, checker: checker, store: metastore.NewServer(), version: 1}
	f.server = httptest.NewServer(f.store.Handler())
	f.store.PutConfiguration(configuration(f.version))
	for i := range config.Nodes {
		service := services[i%len(services)]
		n, err := newNode(config, fmt.Sprintf("%s-%d", service, i), service, f.server.URL, f)
		if err != nil {
			f.close()
			return nil, err
		}
		n.onExit = f.exited
		f.nodes = append(f.nodes, n)
	}
	for _, n := range f.nodes {
		if err := n.start(); err != nil {
			f.close()
			return nil, err
		}
		if err := n.backend.Start(); err != nil {
			f.close()
			return nil, err
		}
	}
	return f, nil
}

// close ends all that was started.
func (f *fleet) close() {
	f.mutex.Lock()
	f.closing = true
	f.mutex.Unlock()
	for _, n := range f.nodes {
		n.backend.Stop()
		if n.exited != nil {
			n.kill()
		}
	}
	f.server.CloseClientConnections()
	f.server.Close()
}

// exited takes note of a process that has ended by itself.
func (f *fleet) exited(n *node, err error) {
	f.checker.Violate(time.Now(), NoOwnExit, "%s ended by itself: %v", n.name, err)
}

// beginFault notes that an unplanned fault begins, until end is called.
func (f *fleet) beginFault() (end func()) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.activeFaults++
	return func() {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		f.activeFaults--
		f.lastFault = time.Now()
	}
}

// settled reports whether no unplanned fault has struck for settleTime.
func (f *fleet) settled() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.activeFaults == 0 && time.Since(f.lastFault) > settleTime
}

// RequestStarted implements platformbackend.Observer.
func (f *fleet) RequestStarted(requestID, instance string) {
	f.checker.Ran(time.Now(), requestID, instance, f.settled())
}

// Crashed implements platformbackend.Observer.
func (f *fleet) Crashed(instance string) {
	for _, n := range f.nodes {
		if n.backend.Instance() == instance {
			time.AfterFunc(backAfter, func() { f.restartBackend(n) })
		}
	}
}

// DrainAcknowledged implements platformbackend.Observer.
func (f *fleet) DrainAcknowledged(instance string) { f.checker.Closed(time.Now(), instance) }

// restartNode starts the process of a node again, unless the soak ends.
func (f *fleet) restartNode(n *node) {
	if f.isClosing() {
		return
	}
	if err := n.start(); err != nil {
		f.checker.Violate(time.Now(), NoOwnExit, "%s could not be started again: %v", n.name, err)
	}
}

// restartBackend begins the next incarnation of a back end, unless the soak ends.
func (f *fleet) restartBackend(n *node) {
	if f.isClosing() {
		return
	}
	if err := n.backend.Start(); err != nil {
		f.config.Log("back end of %s: %v", n.name, err)
	}
}

func (f *fleet) isClosing() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.closing
}

// edit puts a new version of the configuration in the store.
func (f *fleet) edit() {
	f.mutex.Lock()
	f.version++
	version := f.version
	f.mutex.Unlock()
	f.store.PutConfiguration(configuration(version))
}
