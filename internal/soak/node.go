package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/loomcleat/loomcleat/internal/freeport"
	"github.com/loomcleat/loomcleat/internal/standin/platformbackend"
)

// node is a node process and the back end beside it. The process keeps its addresses when it
// is started again.
type node struct {
	name         string
	service      string
	program      string
	settingsFile string // Settings of the process.
	logFile      string
	clockFile    string // File with the time by which the clock of the process is advanced, see package clock.
	outbound     string
	backend      *platformbackend.Backend

	busy      atomic.Bool   // A fault is in progress at this node.
	suspended time.Duration // Total of all suspensions. Only the fault in progress may use it.

	mutex    sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
	stopped  bool // A stop was requested. An exit without that breaks NoUnexpectedExit.
	graceful bool // The requested stop is graceful.
	onExit   func(n *node, err error)
}

// addresses returns a number of unused local addresses.
func addresses(count int) ([]string, error) {
	found := []string{}
	for range count {
		one, err := freeport.Address()
		if err != nil {
			return nil, fmt.Errorf("finding a free port: %w", err)
		}
		found = append(found, one)
	}
	return found, nil
}

// clockFileVariable is the environment variable with the path of the clock file. Only programs
// built with the tag suspendedclock read it; for others a suspension is just a short freeze.
const clockFileVariable = "LOOMCLEAT_TEST_SUSPENDED"

// newNode writes the settings of a node. It doesn't start the process or the back end.
func newNode(config Config, name, service, store string, observer platformbackend.Observer) (*node, error) {
	free, err := addresses(7)
	if err != nil {
		return nil, err
	}
	n := &node{
		name:         name,
		service:      service,
		program:      config.Program,
		settingsFile: filepath.Join(config.Folder, name+".yaml"),
		logFile:      filepath.Join(config.Folder, name+".log"),
		clockFile:    filepath.Join(config.Folder, name+".suspended"),
		outbound:     free[1],
	}
	n.backend = platformbackend.New(platformbackend.Config{
		Service:           service,
		Address:           free[0],
		OutboundAddress:   n.outbound,
		HeartbeatAddress:  free[3],
		Host:              host,
		Slots:             backendSlots,
		WorkTime:          backendWorkTime,
		HeartbeatInterval: heartbeatInterval,
		Observer:          observer,
	})
	lines := []string{
		"id: " + name, "service: " + service, "backend: " + free[0], "outbound: " + n.outbound, "entry: true",
		"readiness: " + free[2], "heartbeats: " + free[3], "control: " + free[4], "admin: " + free[5], "listen: " + free[6],
		"store: " + store, "store_api: platform", "policy_required: true", "claims: false",
		"probe_interval: 500ms", "stop_within: " + stopTimeout.String(), "backend_drain: " + drainTime.String(),
		"retry_budget: {ratio: 0.2, slack: 100, window: 10s}", "log: {format: json}",
	}
	if err := os.WriteFile(n.settingsFile, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return nil, fmt.Errorf("writing the settings of %s: %w", name, err)
	}
	return n, nil
}

// start starts the process.
func (n *node) start() error {
	log, err := os.OpenFile(n.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("opening the log of %s: %w", n.name, err)
	}
	defer log.Close() // The process has its own descriptor.
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.cmd = exec.Command(n.program, "node", "--config", n.settingsFile)
	n.cmd.Env = append(os.Environ(), clockFileVariable+"="+n.clockFile)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.stopped, n.graceful = false, false
	n.exited = make(chan struct{})
	if err := n.cmd.Start(); err != nil {
		return fmt.Errorf("starting %s: %w", n.name, err)
	}
	go n.wait(n.cmd, n.exited)
	return nil
}

// wait waits until a process exits and calls onExit if no stop was requested.
func (n *node) wait(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	n.mutex.Lock()
	stopped := n.stopped
	n.mutex.Unlock()
	close(exited)
	if !stopped {
		n.onExit(n, err)
	}
}

// signal sends a signal to the current process.
func (n *node) signal(signal syscall.Signal) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.cmd != nil && n.cmd.Process != nil {
		_ = n.cmd.Process.Signal(signal) // The process may have exited.
	}
}

// kill kills the process and waits until it has exited.
func (n *node) kill() {
	n.mutex.Lock()
	n.stopped = true
	exited := n.exited
	n.mutex.Unlock()
	n.signal(syscall.SIGCONT)
	n.signal(syscall.SIGKILL)
	<-exited
}

// terminate stops the process gracefully. If it doesn't exit in time, terminate kills it and
// returns false.
func (n *node) terminate() bool {
	n.mutex.Lock()
	n.stopped, n.graceful = true, true
	exited := n.exited
	n.mutex.Unlock()
	n.signal(syscall.SIGTERM)
	select {
	case <-exited:
		return true
	case <-time.After(2 * stopTimeout):
		n.kill()
		return false
	}
}

// suspend imitates a suspended machine: it freezes the process briefly and advances its
// clock by duration.
func (n *node) suspend(duration time.Duration) error {
	n.signal(syscall.SIGSTOP)
	defer n.signal(syscall.SIGCONT)
	time.Sleep(suspensionFreeze)
	n.suspended += duration
	return replaceFile(n.clockFile, strconv.FormatInt(int64(n.suspended), 10))
}

// suspensionFreeze is how long the process is frozen for a suspension.
const suspensionFreeze = 200 * time.Millisecond

// replaceFile replaces a file atomically.
func replaceFile(path, text string) error {
	next := path + ".next"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return fmt.Errorf("writing %s: %w", path, err)
	}
	if err := os.Rename(next, path); err != nil {
		return fmt.Errorf("writing %s: %w", path, err)
	}
	return nil
}

// stopsGracefully reports whether a graceful stop was requested.
func (n *node) stopsGracefully() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.graceful
}
