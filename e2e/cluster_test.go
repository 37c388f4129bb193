// Package e2e holds the end-to-end tests. They build the loomcleat binary, run nodes and
// gateways as processes on loopback, stop, kill and suspend them, and make their store fail.
//
// Back ends, stores and the machine list are stubs that run in the test process. The tests
// observe the processes by their answers, control and admin addresses, and logs.
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

	_ "github.com/loomcleat/loomcleat/internal/cli" // makes cached test results depend on the code of the binary
	"github.com/loomcleat/loomcleat/internal/freeport"
	"github.com/loomcleat/loomcleat/internal/standin/backend"
	"github.com/loomcleat/loomcleat/internal/standin/consul"
	"github.com/loomcleat/loomcleat/store/consulkv"
	"github.com/loomcleat/loomcleat/wire"
)

// binaries is the directory of the built binary.
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

// waitTimeout bounds every wait in these tests. It is generous because the tests do not
// check latency.
const waitTimeout = 20 * time.Second

// program is a process started by a test.
type program struct {
	t      *testing.T
	name   string
	cmd    *exec.Cmd
	log    *syncBuffer
	exited chan struct{}
	err    error
}

// syncBuffer is a bytes.Buffer that is safe for concurrent use.
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

// start runs a binary, given by its absolute path or its name in the directory of built
// binaries. The process is killed at the end of the test.
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

// terminate sends SIGTERM and waits for the process to exit.
func (p *program) terminate() {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(waitTimeout):
		p.t.Errorf("%s did not exit after SIGTERM", p.name)
	}
}

// freePort returns a loopback address whose port is currently free.
func freePort(t *testing.T) string {
	t.Helper()
	address, err := freeport.Address()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// member is a node or gateway process with its addresses. A node also has a back end.
type member struct {
	*program
	service, zone                                    string
	listen, control, admin, outbound, backEndAddress string
	backend                                          *backEndStub
	arguments                                        []string
}

// backEndStub is a back end that runs in the test process, so that tests can inject faults.
type backEndStub struct {
	*backend.Backend
	t *testing.T
}

func startBackEnd(t *testing.T, config backend.Config) *backEndStub {
	t.Helper()
	started, err := backend.Start(config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(started.Close)
	return &backEndStub{Backend: started, t: t}
}

// terminate stops the back end gracefully: it accepts no new requests and completes those
// in flight.
func (s *backEndStub) terminate() {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		s.t.Errorf("the back end at %s did not stop: %v", s.Address(), err)
	}
}

// cluster is a set of node and gateway processes. The stub of the platform, which serves
// the store and the machine list, runs in the test process.
type cluster struct {
	t              *testing.T
	platform       *consul.Server
	url            string
	graph          backend.Graph
	nodes          []*member
	gateways       []*member
	extraArguments []string // flags for all members
	zonesAssigned  int
	settingsFile   string // path for members started from now on, "" for none
}

// newCluster starts the stub of the platform. The cluster has no members yet.
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

// writeSettings writes the settings file for members that are added afterwards.
func (c *cluster) writeSettings(text string) {
	c.settingsFile = filepath.Join(c.t.TempDir(), "settings.yaml")
	if err := os.WriteFile(c.settingsFile, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
}

// fastSettings shorten the tests by a short probe interval, a short announce time and few
// claim groups.
const fastSettings = "probe_interval: 200ms\nannounce_time: 500ms\nclaim_groups: 4\n"

// seeds returns the control addresses of the current members, separated by commas.
func (c *cluster) seeds() string {
	list := []string{}
	for _, m := range append(append([]*member{}, c.nodes...), c.gateways...) {
		list = append(list, m.control)
	}
	return strings.Join(list, ",")
}

// commonArguments returns the arguments that nodes and gateways share.
func (c *cluster) commonArguments(m *member) []string {
	arguments := []string{"--listen", m.listen, "--control", m.control, "--admin", m.admin,
		"--zone", m.zone, "--store", c.url, "--machine-list", c.url, "--id", m.name()}
	if c.settingsFile != "" {
		arguments = append(arguments, "--config", c.settingsFile)
	}
	if seeds := c.seeds(); seeds != "" {
		arguments = append(arguments, "--seeds", seeds)
	}
	return append(arguments, c.extraArguments...)
}

func (m *member) name() string {
	return "m" + strings.ReplaceAll(strings.ReplaceAll(m.control, ".", "-"), ":", "-")
}

// register adds a member to the machine list, as the platform does.
func (c *cluster) register(m *member) { c.platform.Register(catalogRow(m)) }

func catalogRow(m *member) consulkv.CatalogRow {
	host, port, _ := net.SplitHostPort(m.control)
	number := 0
	_, _ = fmt.Sscan(port, &number)
	return consulkv.CatalogRow{ServiceID: m.control, ServiceAddress: host, ServicePort: number,
		ServiceMeta: map[string]string{consulkv.MetaZone: m.zone}}
}

// zone returns the zone of the next member. Members are spread over three zones.
func (c *cluster) zone() string {
	c.zonesAssigned++
	return fmt.Sprintf("z%d", c.zonesAssigned%3+1)
}

// addNode starts a back end and its node and adds the node to the cluster.
func (c *cluster) addNode(service string) *member {
	c.t.Helper()
	m := &member{service: service, zone: c.zone(), listen: freePort(c.t), control: freePort(c.t), admin: freePort(c.t), outbound: freePort(c.t), backEndAddress: freePort(c.t)}
	m.backend = startBackEnd(c.t, backend.Config{Service: c.graph[service], Address: m.backEndAddress, Outbound: m.outbound, KeepRecord: true})
	m.arguments = append([]string{"node", "--service", service, "--backend", m.backEndAddress, "--outbound", m.outbound}, c.commonArguments(m)...)
	c.launch(m)
	c.nodes = append(c.nodes, m)
	return m
}

// addGateway starts a gateway and adds it to the cluster.
func (c *cluster) addGateway() *member {
	c.t.Helper()
	m := &member{zone: c.zone(), listen: freePort(c.t), control: freePort(c.t), admin: freePort(c.t)}
	m.arguments = append([]string{"gateway"}, c.commonArguments(m)...)
	c.launch(m)
	c.gateways = append(c.gateways, m)
	return m
}

// launch starts or restarts the process of a member and registers it.
func (c *cluster) launch(m *member) {
	c.t.Helper()
	m.program = start(c.t, m.arguments[0]+" "+m.service+" "+m.control, "loomcleat", m.arguments...)
	c.register(m)
}

// remove removes a member from the cluster, so that waitReady does not wait for it.
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

// eventually polls a condition until it holds, and fails the test after waitTimeout.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

var httpClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}

// status requests the status of a member over its control address.
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

// waitReady waits until every member is ready, sees all members alive and has the document
// of the claim groups. If the test fails, the state of the members is logged.
func (c *cluster) waitReady() {
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

// call is a request that a caller sends to a gateway.
type call struct {
	gateway *member
	service string
	method  string
	path    string
	header  map[string]string
	body    io.Reader
	timeout time.Duration
}

// answer is a completely read answer.
type answer struct {
	status int
	header http.Header
	body   string
}

// do sends the request and reads the complete answer. The default timeout is waitTimeout.
func (c call) do() (answer, error) {
	timeout := c.timeout
	if timeout == 0 {
		timeout = waitTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, c.method, "http://"+c.gateway.listen+c.path, c.body)
	if err != nil {
		return answer{}, err
	}
	request.Host = c.service
	for name, value := range c.header {
		request.Header.Set(name, value)
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return answer{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body)}, err
}

// countRuns returns the number of executions with the tag at all back ends.
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

// runCommand runs loomcleat with arguments and returns its output and exit status.
func runCommand(t *testing.T, arguments ...string) (string, int) {
	t.Helper()
	cmd := exec.Command(filepath.Join(binaries, "loomcleat"), arguments...)
	output, err := cmd.CombinedOutput()
	if err != nil && cmd.ProcessState == nil {
		t.Fatal(err)
	}
	return string(output), cmd.ProcessState.ExitCode()
}
