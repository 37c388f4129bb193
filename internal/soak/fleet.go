package soak

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/loomcleat/loomcleat/internal/standin/metastore"
)

// Settings of the stub back ends and of the nodes.
const (
	host              = "soak.example"
	backendSlots      = 32
	backendWorkTime   = 10 * time.Millisecond
	heartbeatInterval = 300 * time.Millisecond
	stopTimeout       = 3 * time.Second
	// backendRestartDelay is the delay before a crashed back end is started again.
	backendRestartDelay = time.Second
)

// services lists the services in call order. A lookup passes through all three.
var services = []string{"front", "middle", "deep"}

// configuration returns a platform configuration with a route to each service and one to
// "middle" whose requests may run at most once.
func configuration(version int) []byte {
	routes := []string{}
	for _, service := range services {
		routes = append(routes, fmt.Sprintf(
			`{"name":%q,"path_prefix":"/%s/","type":"safe","timeout":"3s","target_latency":"500ms","priority":1,"service":%q,"max_attempts":2}`, service, service, service))
	}
	routes = append(routes, `{"name":"pay","path_prefix":"/pay/","type":"unsafe","timeout":"3s","target_latency":"500ms","priority":0,"service":"middle","max_attempts":2}`)
	return fmt.Appendf(nil, `{"version":%d,"hosts":[{"host":%q,"paths":[%s]}]}`, version, host, strings.Join(routes, ","))
}

// fleet holds the processes and stubs of a soak. It observes the back ends.
type fleet struct {
	config  Config
	checker *Checker
	store   *metastore.Server
	server  *httptest.Server
	nodes   []*node
	faults  []fault // that are drawn

	mutex        sync.Mutex
	lastFault    time.Time // End of the last unplanned fault.
	activeFaults int       // Unplanned faults in progress.
	version      int       // Version of the configuration.
	closing      bool
}

// newFleet starts the store, the nodes and the back ends. It doesn't wait until they serve
// requests.
func newFleet(config Config, checker *Checker) (*fleet, error) {
	drawn, err := selectFaults(config.Faults)
	if err != nil {
		return nil, err
	}
	f := &fleet{config: config, checker: checker, store: metastore.NewServer(), version: 1, faults: drawn}
	f.server = httptest.NewServer(f.store.Handler())
	f.store.PutConfiguration(configuration(f.version))
	for i := range config.Nodes {
		service := services[i%len(services)]
		n, err := newNode(config, fmt.Sprintf("%s-%d", service, i), service, f.server.URL, f)
		if err != nil {
			f.close()
			return nil, err
		}
		n.onExit = f.recordExit
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

// close stops everything that newFleet started.
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

// recordExit records an unexpected exit of a process.
func (f *fleet) recordExit(n *node, err error) {
	f.checker.Violate(time.Now(), NoUnexpectedExit, "%s exited unexpectedly: %v", n.name, err)
}

// beginFault marks an unplanned fault as in progress until end is called.
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

// settled reports whether no unplanned fault is in progress and settleTime has passed since
// the last one.
func (f *fleet) settled() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.activeFaults == 0 && time.Since(f.lastFault) > settleTime
}

func (f *fleet) RequestStarted(requestID, incarnation string) {
	f.checker.RequestStarted(time.Now(), requestID, incarnation, f.settled())
}

// Crashed starts the back end again after a delay.
func (f *fleet) Crashed(incarnation string) {
	for _, n := range f.nodes {
		if n.backend.Incarnation() == incarnation {
			time.AfterFunc(backendRestartDelay, func() { f.restartBackend(n) })
		}
	}
}

func (f *fleet) DrainAcknowledged(incarnation string) {
	f.checker.DrainAcknowledged(time.Now(), incarnation)
}

func (f *fleet) Arrived(incarnation string) { f.checker.Arrived(time.Now(), incarnation) }

func (f *fleet) RateLimitDeclared(incarnation string, limit float64) {
	f.checker.RateLimitDeclared(time.Now(), incarnation, limit)
}

// restartNode starts the process of a node again, unless the fleet is being closed.
func (f *fleet) restartNode(n *node) {
	if f.isClosing() {
		return
	}
	if err := n.start(); err != nil {
		f.checker.Violate(time.Now(), NoUnexpectedExit, "%s could not be restarted: %v", n.name, err)
	}
}

// restartBackend starts the next incarnation of a back end, unless the fleet is being closed.
func (f *fleet) restartBackend(n *node) {
	if f.isClosing() {
		return
	}
	if err := n.backend.Start(); err != nil {
		f.config.Log("restarting the back end of %s: %v", n.name, err)
	}
}

func (f *fleet) isClosing() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.closing
}

// edit writes a new version of the configuration to the store.
func (f *fleet) edit() {
	f.mutex.Lock()
	f.version++
	version := f.version
	f.mutex.Unlock()
	f.store.PutConfiguration(configuration(version))
}

// rewrite writes the newest version of the configuration to the store again.
func (f *fleet) rewrite() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.store.PutConfiguration(configuration(f.version))
}
