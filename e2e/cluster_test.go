// Package e2e proves promises on real processes: the binaries are built,
// started on loopback, killed, frozen and cut.
package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	_ "github.com/loomcleat/loomcleat/internal/cli" // so that go test does not take an earlier result from its cache
	"github.com/loomcleat/loomcleat/internal/freeport"
	"github.com/loomcleat/loomcleat/internal/standin/backend"
	"github.com/loomcleat/loomcleat/internal/standin/consul"
	"github.com/loomcleat/loomcleat/store/consulkv"
	"github.com/loomcleat/loomcleat/wire"
)

// binaries is the folder of the built programs.
var binaries string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "loomcleat-e2e")
	if err != nil {
		panic(err)
	}
	binaries = folder
	build := exec.Command("go", "build", "-o", folder, "../cmd/loomcleat")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building: %v\n%s", err, output)
		os.Exit(1)
	}
	status := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(status)
}

// patience bounds every wait of these tests. It is far above what is expected,
// because nothing here asserts speed.
const patience = 20 * time.Second

// program is one started process.
type program struct {
	t      *testing.T
	name   string
	cmd    *exec.Cmd
	log    *syncBuffer
	exited chan struct{}
	err    error
}

// syncBuffer is a buffer for the output of a process.
type syncBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

func (b *syncBuffer) Write(data []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.Write(data)
}

func (b *syncBuffer) String() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.String()
}

func start(t *testing.T, name, binary string, arguments ...string) *program {
	t.Helper()
	p := &program{t: t, name: name, log: &syncBuffer{}, exited: make(chan struct{})}
	if !filepath.IsAbs(binary) {
		binary = filepath.Join(binaries, binary)
	}
	p.cmd = exec.Command(binary, arguments...)
	p.cmd.Stderr, p.cmd.Stdout = p.log, p.log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		p.kill()
		if t.Failed() {
			t.Logf("== %s\n%s", p.name, tail(p.log.String(), 4000))
		}
	})
	return p
}

func tail(text string, limit int) string {
	if len(text) > limit {
		return "...\n" + text[len(text)-limit:]
	}
	return text
}

func (p *program) signal(signal syscall.Signal) {
	select {
	case <-p.exited:
	default:
		_ = p.cmd.Process.Signal(signal)
	}
}

func (p *program) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// terminate stops the process in order and waits for its end.
func (p *program) terminate() {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(patience):
		p.t.Errorf("%s did not end after SIGTERM", p.name)
	}
}

// freePort returns a loopback address that is free now.
func freePort(t *testing.T) string {
	t.Helper()
	address, err := freeport.Address()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// member is a node or gateway process with its addresses.
type member struct {
	*program
	service, zone                          string
	listen, control, admin, outbound, back string
	backend                                *standIn
	arguments                              []string
}

// standIn is a back end. It runs in the test, so that it can be told to misbehave.
type standIn struct {
	*backend.Backend
	t *testing.T
}

func startBackend(t *testing.T, config backend.Config) *standIn {
	t.Helper()
	started, err := backend.Start(config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(started.Close)
	return &standIn{Backend: started, t: t}
}

// terminate stops the back end in order: it takes no new requests and ends the others.
func (s *standIn) terminate() {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		s.t.Errorf("the back end at %s did not end: %v", s.Address(), err)
	}
}

// cluster is a mesh of real processes. The stand-in of the platform runs in the test as
// well.
type cluster struct {
	t        *testing.T
	platform *consul.Server
	url      string
	graph    backend.Graph
	nodes    []*member
	gateways []*member
	extra    []string // settings flags for all
	count    int
	file     string // settings file, "" for none
}

// newCluster starts the platform.
func newCluster(t *testing.T, graph backend.Graph) *cluster {
	t.Helper()
	c := &cluster{t: t, platform: consul.NewServer(), graph: graph}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: c.platform.Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	c.url = "http://" + listener.Addr().String()
	return c
}

// settings writes a settings file that all members use.
func (c *cluster) settings(text string) {
	c.file = filepath.Join(c.t.TempDir(), "settings.yaml")
	if err := os.WriteFile(c.file, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
}

// fastSettings keep these tests short: the times between messages are shorter
// than the defaults, nothing else differs.
const fastSettings = "probe_interval: 200ms\nannounce_time: 500ms\nclaim_groups: 4\n"

func (c *cluster) seeds() string {
	list := []string{}
	for _, m := range append(append([]*member{}, c.nodes...), c.gateways...) {
		list = append(list, m.control)
	}
	return strings.Join(list, ",")
}

func (c *cluster) common(m *member) []string {
	arguments := []string{"--listen", m.listen, "--control", m.control, "--admin", m.admin,
		"--zone", m.zone, "--store", c.url, "--machine-list", c.url, "--id", m.name()}
	if c.file != "" {
		arguments = append(arguments, "--config", c.file)
	}
	if seeds := c.seeds(); seeds != "" {
		arguments = append(arguments, "--seeds", seeds)
	}
	return append(arguments, c.extra...)
}

func (m *member) name() string {
	return "m" + strings.ReplaceAll(strings.ReplaceAll(m.control, ".", "-"), ":", "-")
}

// register enters a member in the machine list, as the platform would.
func (c *cluster) register(m *member) { c.platform.Register(catalogRow(m)) }

func catalogRow(m *member) consulkv.CatalogRow {
	host, port, _ := net.SplitHostPort(m.control)
	number := 0
	_, _ = fmt.Sscan(port, &number)
	return consulkv.CatalogRow{ServiceID: m.control, ServiceAddress: host, ServicePort: number,
		ServiceMeta: map[string]string{consulkv.MetaZone: m.zone}}
}

func (c *cluster) zone() string {
	c.count++
	return fmt.Sprintf("z%d", c.count%3+1)
}

// addNode starts a back end and its node.
func (c *cluster) addNode(service string) *member {
	c.t.Helper()
	m := &member{service: service, zone: c.zone(), listen: freePort(c.t), control: freePort(c.t), admin: freePort(c.t), outbound: freePort(c.t), back: freePort(c.t)}
	m.backend = startBackend(c.t, backend.Config{Service: c.graph[service], Address: m.back, Outbound: m.outbound, KeepRecord: true})
	m.arguments = append([]string{"node", "--service", service, "--backend", m.back, "--outbound", m.outbound}, c.common(m)...)
	c.launch(m)
	c.nodes = append(c.nodes, m)
	return m
}

// addGateway starts a gateway.
func (c *cluster) addGateway() *member {
	c.t.Helper()
	m := &member{zone: c.zone(), listen: freePort(c.t), control: freePort(c.t), admin: freePort(c.t)}
	m.arguments = append([]string{"gateway"}, c.common(m)...)
	c.launch(m)
	c.gateways = append(c.gateways, m)
	return m
}

// launch starts the process of a member, also a second time.
func (c *cluster) launch(m *member) {
	c.t.Helper()
	m.program = start(c.t, m.arguments[0]+" "+m.service+" "+m.control, "loomcleat", m.arguments...)
	c.register(m)
}

// remove takes a member out of the list of those that must be ready.
func (c *cluster) remove(gone *member) {
	keep := func(list []*member) []*member {
		kept := []*member{}
		for _, m := range list {
			if m != gone {
				kept = append(kept, m)
			}
		}
		return kept
	}
	c.nodes, c.gateways = keep(c.nodes), keep(c.gateways)
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(patience)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("waited in vain for %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

var httpClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}

// status asks a member for its status.
func (m *member) status() (wire.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	var status wire.Status
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.control+wire.PathStatus, nil)
	if err != nil {
		return status, err
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return status, err
	}
	defer response.Body.Close()
	return status, json.NewDecoder(response.Body).Decode(&status)
}

// ready waits until all members take requests, know each other and the claim
// groups vote.
func (c *cluster) ready() {
	c.t.Helper()
	all := append(append([]*member{}, c.nodes...), c.gateways...)
	c.t.Cleanup(func() {
		if !c.t.Failed() {
			return
		}
		for _, m := range all {
			status, err := m.status()
			seen := []string{}
			for _, known := range status.Members {
				seen = append(seen, fmt.Sprintf("%s %s leaving=%t down=%t", known.Control, known.Status, known.Leaving, known.Down))
			}
			c.t.Logf("%s: error=%v ready=%t revisions=%+v members=%q", m.control, err, status.Ready, status.Revisions, seen)
		}
	})
	eventually(c.t, "the cluster to be ready", func() bool {
		for _, m := range all {
			status, err := m.status()
			if err != nil || !status.Ready || status.Revisions.Groups == 0 {
				return false
			}
			alive := 0
			for _, known := range status.Members {
				if known.Status == 0 && !known.Leaving && !known.Down {
					alive++
				}
			}
			if alive < len(all) {
				return false
			}
		}
		return true
	})
}

// call is one request of a caller.
type call struct {
	gateway *member
	service string
	method  string
	path    string
	header  map[string]string
	body    io.Reader
	timeout time.Duration
}

// answered is an answer that was read whole.
type answered struct {
	status int
	header http.Header
	body   string
}

func (c call) do() (answered, error) {
	timeout := c.timeout
	if timeout == 0 {
		timeout = patience
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, c.method, "http://"+c.gateway.listen+c.path, c.body)
	if err != nil {
		return answered{}, err
	}
	request.Host = c.service
	for name, value := range c.header {
		request.Header.Set(name, value)
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return answered{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answered{status: response.StatusCode, header: response.Header, body: string(body)}, err
}

// countRuns counts the runs of all back ends with the given tag.
func (c *cluster) countRuns(tag string) int {
	c.t.Helper()
	count := 0
	for _, m := range c.nodes {
		for _, run := range m.backend.Runs() {
			if run.Tag == tag {
				count++
			}
		}
	}
	return count
}

// command runs the loomcleat command line and returns its output and status.
func command(t *testing.T, arguments ...string) (string, int) {
	t.Helper()
	cmd := exec.Command(filepath.Join(binaries, "loomcleat"), arguments...)
	output, err := cmd.CombinedOutput()
	if err != nil && cmd.ProcessState == nil {
		t.Fatal(err)
	}
	return string(output), cmd.ProcessState.ExitCode()
}
