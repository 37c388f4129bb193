package virtual

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/clock/clocktest"
	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/internal/daemon"
	"github.com/loomcleat/loomcleat/internal/standin/metastore"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/settings"
)

// Mesh is a mesh of nodes with a stub of the platform's store. Its functions must be called inside
// the bubble in which it was started.
type Mesh struct {
	*Network
	Store *metastore.Server
	Nodes []*Node

	t      *testing.T
	store  *http.Server
	adjust func(*settings.Settings)
	log    func(node int) *event.Logger
}

// Node is a node of a Mesh.
type Node struct {
	*kernel.Process
	Host  string
	mesh  *Mesh
	index int
}

// Config configures a Mesh.
type Config struct {
	Nodes int
	// Adjust changes the settings of each node, if set.
	Adjust func(*settings.Settings)
	// Log returns the logger of a node, if set.
	Log func(node int) *event.Logger
}

// Delays of the network, one way, and of opening a connection to a host that does not answer.
const (
	linkDelay   = 500 * time.Microsecond
	dialTimeout = time.Second
)

// Ports of a node.
const (
	portTraffic  = 7000
	portControl  = 7001
	portOutbound = 7002
	portAdmin    = 7003
)

// Address of the store.
const (
	StoreHost    = "10.255.0.1"
	storeAddress = StoreHost + ":80"
)

// Start starts a mesh. It and its goroutines end with the test function t, which must call Close.
func Start(t *testing.T, config Config) *Mesh {
	t.Helper()
	restore := clocktest.Replace(func() clock.Instant { return clock.Instant(time.Now().UnixNano()) })
	t.Cleanup(restore)
	if config.Log == nil {
		config.Log = func(int) *event.Logger { return event.Discard() }
	}
	m := &Mesh{Network: NewNetwork(linkDelay), Store: metastore.NewServer(), t: t, adjust: config.Adjust, log: config.Log}
	daemon.UseLibraryLog(event.Discard())
	m.serveStore()
	for i := range config.Nodes {
		node := &Node{Host: fmt.Sprintf("10.0.%d.%d", i/250, i%250+1), mesh: m, index: i}
		m.Nodes = append(m.Nodes, node)
		node.Start()
	}
	return m
}

func (m *Mesh) serveStore() {
	bound, err := m.Listen(storeAddress)
	if err != nil {
		m.t.Fatal(err)
	}
	m.store = &http.Server{Handler: m.Store.Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = m.store.Serve(bound) }()
}

// Start starts the process of a node, also again after Kill.
func (n *Node) Start() {
	n.mesh.t.Helper()
	process, err := daemon.OpenWith(kernel.Options{
		Settings: n.settings(),
		Log:      n.mesh.log(n.index),
		Dial:     n.mesh.Dialer(n.Host, dialTimeout),
		Listen:   n.mesh.Listen,
	})
	if err != nil {
		n.mesh.t.Fatal(err)
	}
	n.Process = process
	go func() { _ = process.Start(context.Background()) }()
}

func (n *Node) settings() settings.Settings {
	at := func(port int) string { return fmt.Sprintf("%s:%d", n.Host, port) }
	s := settings.Default(settings.RoleNode)
	s.ID, s.Service = fmt.Sprintf("node-%d", n.index), "service"
	s.Listen, s.Control, s.Outbound, s.Admin = at(portTraffic), at(portControl), at(portOutbound), at(portAdmin)
	s.Backend, s.Entry = at(portTraffic+10), true
	s.Store, s.StoreAPI = "http://"+storeAddress, settings.StorePlatform
	s.Claims, s.PolicyRequired, s.StoreWatches = false, true, 4
	if n.mesh.adjust != nil {
		n.mesh.adjust(&s)
	}
	return s
}

// closeTime is longer than any connection stays open without use.
const closeTime = 5 * time.Minute

// Close kills all processes and waits until their goroutines have ended, so that the bubble can end.
func (m *Mesh) Close() {
	for _, node := range m.Nodes {
		m.Restore(node.Host)
		node.Kill()
	}
	_ = m.store.Close()
	time.Sleep(closeTime)
}

// Get sends a request from a client on the machine of the node and returns the status and the
// Retry-After header of the answer.
func (n *Node) Get(host, path string) (status int, retryAfter string, err error) {
	transport := &http.Transport{DialContext: n.mesh.Dialer(n.Host, dialTimeout), DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	request, err := http.NewRequest(http.MethodGet, "http://"+n.OutboundAddress()+path, nil)
	if err != nil {
		return 0, "", err
	}
	request.Host = host
	response, err := (&http.Client{Transport: transport}).Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	return response.StatusCode, response.Header.Get("Retry-After"), nil
}
