// Package lab runs a complete mesh of nodes and gateways inside one program, with stubs for
// the key-value store, the machine list and the back ends. The demo, tests and benchmarks
// use it. A Mesh owns the processes and servers that it starts until Close. The package
// relies on package daemon to open processes in the same way as the program does.
package lab

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/internal/daemon"
	"github.com/loomcleat/loomcleat/internal/standin/backend"
	"github.com/loomcleat/loomcleat/internal/standin/consul"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/policy"
	"github.com/loomcleat/loomcleat/policy/editor"
	"github.com/loomcleat/loomcleat/settings"
	"github.com/loomcleat/loomcleat/store/consulkv"
)

// The HTTP framework logs through one logger per program. It is disabled here; programs
// that need its messages call daemon.UseLibraryLog.
func init() { daemon.UseLibraryLog(event.Discard()) }

// MeshConfig configures a Mesh.
type MeshConfig struct {
	// Graph is the call graph; each of its services gets Backends back ends.
	Graph backend.Graph
	// Backends is the number of back ends of each service.
	Backends int
	// Gateways is the number of gateways.
	Gateways int
	// Zones are the names of the zones, assigned to processes round-robin. Default z1.
	Zones []string
	// Policy is the first edit of the policy tree. May be empty.
	Policy []policy.Change
	// Log receives the events of all processes. Default event.Discard.
	Log *event.Logger
	// Adjust, if set, changes the settings of each process before it is opened.
	Adjust func(*settings.Settings)
	// Dial, if set, returns the dial function of the process with the given settings id.
	// Default TCP.
	Dial func(id string) kernel.DialFunc
	// KeepRecords makes back ends record each request that they run.
	KeepRecords bool
}

// Node is a node with its back end.
type Node struct {
	Process *kernel.Process
	Backend *backend.Backend
	Service string
}

// Mesh is a running mesh.
type Mesh struct {
	// Platform is the stub of the key-value store and the machine list, at PlatformURL.
	Platform    *consul.Server
	PlatformURL string
	// Store is a client of Platform.
	Store *consulkv.Client
	// Nodes and Gateways are in the order of their start and include stopped ones.
	Nodes    []*Node
	Gateways []*kernel.Process

	config MeshConfig
	server *http.Server
	mutex  sync.Mutex
	seeds  []string
	count  int
}

// StartMesh starts a mesh and waits until all processes are ready. It returns an error if
// the mesh cannot be started or ctx is done first.
func StartMesh(ctx context.Context, config MeshConfig) (*Mesh, error) {
	if len(config.Zones) == 0 {
		config.Zones = []string{"z1"}
	}
	if config.Log == nil {
		config.Log = event.Discard()
	}
	m := &Mesh{config: config, Platform: consul.NewServer()}
	if err := m.startPlatform(ctx); err != nil {
		return nil, err
	}
	for service := range config.Graph {
		for range config.Backends {
			if _, err := m.AddNode(service); err != nil {
				return nil, err
			}
		}
	}
	for range config.Gateways {
		if _, err := m.AddGateway(); err != nil {
			return nil, err
		}
	}
	return m, m.waitReady(ctx)
}

func (m *Mesh) startPlatform(ctx context.Context) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	m.PlatformURL = "http://" + listener.Addr().String()
	m.server = &http.Server{Handler: m.Platform.Handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = m.server.Serve(listener) }()
	m.Store = consulkv.NewClient(consulkv.Config{BaseURL: m.PlatformURL})
	if len(m.config.Policy) == 0 {
		return nil
	}
	_, err = editor.New(m.Store, "lab").Apply(ctx, m.config.Policy)
	return err
}

// settingsFor returns the settings of the next process.
func (m *Mesh) settingsFor(role settings.Role) settings.Settings {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	s := settings.Default(role)
	s.Zone = m.config.Zones[m.count%len(m.config.Zones)]
	s.Listen, s.Control = "127.0.0.1:0", "127.0.0.1:0"
	s.Store, s.MachineList = m.PlatformURL, m.PlatformURL
	s.Seeds = append([]string{}, m.seeds...)
	s.ID = fmt.Sprintf("%s-%d", role, m.count)
	s.AnnounceTime = settings.Duration(300 * time.Millisecond)
	s.ProbeInterval = settings.Duration(200 * time.Millisecond)
	m.count++
	if m.config.Adjust != nil {
		m.config.Adjust(&s)
	}
	return s
}

// open opens and starts a process, and registers it in the machine list.
func (m *Mesh) open(s settings.Settings) (*kernel.Process, error) {
	var dial kernel.DialFunc
	if m.config.Dial != nil {
		dial = m.config.Dial(s.ID)
	}
	process, err := daemon.OpenWith(kernel.Options{Settings: s, Log: m.config.Log.With("process", s.ID), Dial: dial})
	if err != nil {
		return nil, err
	}
	go func() { _ = process.Start(context.Background()) }()
	m.mutex.Lock()
	m.seeds = append(m.seeds, process.ControlAddress())
	m.mutex.Unlock()
	m.Platform.Register(catalogRow(process))
	return process, nil
}

// catalogRow returns the machine list entry of a process.
func catalogRow(process *kernel.Process) consulkv.CatalogRow {
	address, _ := net.ResolveTCPAddr("tcp", process.ControlAddress())
	return consulkv.CatalogRow{
		ServiceID:      process.ID,
		ServiceAddress: address.IP.String(),
		ServicePort:    address.Port,
		ServiceMeta:    map[string]string{consulkv.MetaZone: process.Settings.Zone},
	}
}

// AddGateway starts a gateway. It does not wait until the gateway is ready.
func (m *Mesh) AddGateway() (*kernel.Process, error) {
	process, err := m.open(m.settingsFor(settings.RoleGateway))
	if err != nil {
		return nil, err
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.Gateways = append(m.Gateways, process)
	return process, nil
}

// AddNode starts a back end and its node. It does not wait until the node is ready.
func (m *Mesh) AddNode(service string) (*Node, error) {
	stub, err := backend.Start(backend.Config{Service: m.config.Graph[service], KeepRecord: m.config.KeepRecords})
	if err != nil {
		return nil, err
	}
	node := &Node{Backend: stub, Service: service}
	s := m.settingsFor(settings.RoleNode)
	s.Service = service
	s.Backend = stub.Address()
	s.BackendHealthPath = backend.HealthPath
	if node.Process, err = m.open(s); err != nil {
		stub.Close()
		return nil, err
	}
	stub.SetOutbound(node.Process.OutboundAddress())
	m.mutex.Lock()
	m.Nodes = append(m.Nodes, node)
	m.mutex.Unlock()
	return node, nil
}

// Stop stops a node and then its back end gracefully.
func (n *Node) Stop() {
	_ = n.Process.Stop(context.Background())
	_ = n.Backend.Shutdown(context.Background())
}

// Processes returns all gateways and nodes that were started, including stopped ones.
func (m *Mesh) Processes() []*kernel.Process {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	all := append([]*kernel.Process{}, m.Gateways...)
	for _, node := range m.Nodes {
		all = append(all, node.Process)
	}
	return all
}

// waitReady waits until every process is ready, sees all members and has the claim groups.
func (m *Mesh) waitReady(ctx context.Context) error {
	return waitFor(ctx, "the mesh to be ready", func() bool {
		all := m.Processes()
		for _, process := range all {
			status := process.Status()
			if !status.Ready || len(status.Members) < len(all) || status.Revisions.Groups == 0 {
				return false
			}
		}
		return true
	})
}

const waitInterval = 5 * time.Millisecond

func waitFor(ctx context.Context, what string, done func() bool) error {
	ticker := time.NewTicker(waitInterval)
	defer ticker.Stop()
	for !done() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("waiting for %s: %w", what, ctx.Err())
		}
	}
	return nil
}

// Close kills all processes and closes the back ends and the stub platform.
func (m *Mesh) Close() {
	for _, process := range m.Processes() {
		process.Kill()
	}
	for _, node := range m.Nodes {
		node.Backend.Close()
	}
	_ = m.server.Close()
	m.Store.Close()
}
