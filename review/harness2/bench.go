package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/loomcleat/loomcleat/review/harness"
)

// Bounds of the deployment, as in the settings of the sites.
const (
	contactBound  = 3 * time.Second
	drainBound    = 2 * time.Second
	graceBound    = 6 * time.Second
	recoveryBound = 15 * time.Second
	configBound   = 2 * time.Second
	beatInterval  = 1500 * time.Millisecond
)

// Ports of a machine.
const (
	portInbound  = 8300
	portApp      = 8301
	portReady    = 8302
	portOutbound = 8304
	portControl  = 8306
	portInternal = 7620
	portAdmin    = 9464
)

// bench is a small deployment.
type bench struct {
	rec     *record
	folder  string
	prefix  string // of the loopback addresses, 127.A.B.
	store   *harness.Store
	command []string

	mutex    sync.Mutex
	nodes    []*node
	backends []*backend
	stopped  bool
}

// node is one machine with a process of the system.
type node struct {
	bench    *bench
	name     string
	ip       string
	zone     string
	service  string
	settings string

	mutex   sync.Mutex
	process *exec.Cmd
	started time.Time
}

func newBench(rec *record) (*bench, error) {
	folder, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	command, err := deployCommand("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	for range 20 {
		prefix := fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		listener, err := net.Listen("tcp", fmt.Sprintf("%s1:%d", prefix, portInbound))
		if err != nil {
			continue
		}
		_ = listener.Close()
		return &bench{rec: rec, folder: folder, command: command, prefix: prefix, store: harness.NewStore()}, nil
	}
	return nil, fmt.Errorf("no free loopback addresses")
}

// deployCommand returns the words of the command that starts a process, from the deploy file.
func deployCommand(file string) ([]string, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(data)) {
		if value, found := strings.CutPrefix(strings.TrimSpace(line), "run = "); found {
			return strings.Fields(strings.Trim(value, `"`)), nil
		}
	}
	return nil, fmt.Errorf("%s names no command", file)
}

// configure writes the operator's configuration.
func (b *bench) configure(text string) {
	b.rec.printf("the operator writes the configuration: %s", text)
	if err := b.store.Configure(json.RawMessage(text)); err != nil {
		b.rec.printf("the configuration is not written: %v", err)
	}
}

// addNode adds a machine whose process is not running yet.
func (b *bench) addNode(service, zone string) (*node, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	number := len(b.nodes) + 1
	n := &node{bench: b, name: fmt.Sprintf("machine-%d", number), ip: fmt.Sprintf("%s%d", b.prefix, number), zone: zone, service: service}
	for _, port := range []int{portInbound, portApp, portReady, portOutbound, portControl, portInternal, portAdmin} {
		listener, err := net.Listen("tcp", n.address(port))
		if err != nil {
			return nil, err
		}
		_ = listener.Close()
	}
	n.settings = filepath.Join(b.folder, n.name+".yaml")
	if err := n.writeSettings(); err != nil {
		return nil, err
	}
	b.nodes = append(b.nodes, n)
	return n, nil
}

func (n *node) address(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }

// writeSettings fills in the template of the deploy file.
func (n *node) writeSettings() error {
	template, err := os.ReadFile("deploy/node.yaml")
	if err != nil {
		return err
	}
	values := map[string]string{
		"node": n.name, "region": "north", "zone": n.zone, "service": n.service, "ip": n.ip,
		"app_addr": n.address(portApp), "listen.inbound": n.address(portInbound), "listen.outbound": n.address(portOutbound),
		"listen.ready": n.address(portReady), "listen.control": n.address(portControl),
		"internal_ports.0": fmt.Sprint(portInternal), "platform.address": n.bench.store.Address(),
		"bounds.drain": drainBound.String(), "bounds.config": configBound.String(), "bounds.grace": graceBound.String(),
		"bounds.retry_budget_ratio": "0.2", "bounds.retry_slack": "60", "bounds.budget_window": "10s",
	}
	return os.WriteFile(n.settings, []byte(fill(string(template), values)), 0o600)
}

// fill fills in a template: sections of values that exist, and values.
func fill(text string, values map[string]string) string {
	for {
		before, rest, found := strings.Cut(text, "{{#")
		if !found {
			break
		}
		name, rest, _ := strings.Cut(rest, "}}")
		inside, after, _ := strings.Cut(rest, "{{/"+name+"}}")
		if _, exists := values[name]; !exists {
			inside = ""
		}
		text = before + inside + after
	}
	for {
		before, rest, found := strings.Cut(text, "{{")
		if !found {
			return text
		}
		name, after, _ := strings.Cut(rest, "}}")
		text = before + values[name] + after
	}
}

// start starts the process of the machine.
func (n *node) start() error {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	arguments := append([]string{}, n.bench.command[1:]...)
	arguments[len(arguments)-1] = n.settings // in place of the path on the users' machines
	process := exec.Command(n.bench.command[0], arguments...)
	output, err := os.OpenFile(filepath.Join(n.bench.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	process.Stdout, process.Stderr = output, output
	process.Env = []string{"LOOMCLEAT_SETTINGS=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	n.process, n.started = process, time.Now()
	n.bench.rec.printf("%s starts (service %s, zone %s)", n.name, n.service, n.zone)
	return nil
}

// signal sends a signal to the process of the machine. After SIGKILL it waits for its end.
func (n *node) signal(signal syscall.Signal) {
	n.mutex.Lock()
	process := n.process
	n.mutex.Unlock()
	if process == nil {
		return
	}
	_ = process.Process.Signal(signal)
	n.bench.rec.printf("%s: %v", n.name, signal)
	if signal == syscall.SIGKILL {
		_ = process.Wait()
	}
}

// ready asks the readiness of the machine.
func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.address(portReady) + harness.Protocol.ReadyPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitControl waits until the machine takes heartbeats.
func (n *node) awaitControl() error {
	for range 5000 {
		conn, err := net.Dial("tcp", n.address(portControl))
		if err == nil {
			return conn.Close()
		}
		time.Sleep(time.Millisecond)
	}
	return fmt.Errorf("%s takes no heartbeats", n.name)
}

// startAll starts all machines with their back ends and waits until they are ready.
func (b *bench) startAll() error {
	for _, app := range b.backends {
		if err := app.start(); err != nil {
			return err
		}
	}
	for _, n := range b.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	return b.awaitReady(20 * time.Second)
}

func (b *bench) awaitReady(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, n := range b.nodes {
		for !n.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	b.rec.printf("all machines are ready")
	return nil
}

// killAll kills all processes of the system at once and starts them again after a delay.
func (b *bench) killAll(restartAfter time.Duration) error {
	var killed sync.WaitGroup
	for _, n := range b.nodes {
		killed.Go(func() { n.signal(syscall.SIGKILL) })
	}
	killed.Wait()
	time.Sleep(restartAfter)
	for _, n := range b.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	return nil
}

// stop ends all processes that the bench started.
func (b *bench) stop() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.stopped {
		return
	}
	b.stopped = true
	for _, app := range b.backends {
		app.end()
	}
	for _, n := range b.nodes {
		n.mutex.Lock()
		if n.process != nil && n.process.ProcessState == nil {
			_ = n.process.Process.Kill()
			_ = n.process.Wait()
		}
		n.mutex.Unlock()
	}
	b.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(b.folder)
	}
}
