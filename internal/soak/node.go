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

// node is a process of the product, started anew at the same addresses after each end, with
// the back end beside it.
type node struct {
	name     string
	service  string
	program  string
	file     string // of its settings
	logFile  string
	clock    string // file that puts the clock of the process forward, see package clock
	outbound string
	backend  *platformbackend.Backend

	busy      atomic.Bool   // a fault has it
	suspended time.Duration // in all, of the fault that has it

	mutex   sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	stopped bool // it was told to end; an end without that breaks NoOwnExit
	orderly bool // it was told to end in order
	onExit  func(n *node, err error)
}

// addresses returns a number of addresses on which nothing listens.
func addresses(count int) ([]string, error) {
	found := []string{}
	for range count {
		one, err := freeport.Address()
		if err != nil {
			return nil, fmt.Errorf("looking for a port: %w", err)
		}
		found = append(found, one)
	}
	return found, nil
}

// clockVariable names the file to a program that was built with the tag suspendedclock;
// others don't know it, and a suspension is a short freeze to them.
const clockVariable = "LOOMCLEAT_TEST_SUSPENDED"

// newNode writes the settings of a node. Nothing is started.
func newNode(config Config, name, service, store string, observer platformbackend.Observer) (*node, error) {
	free, err := addresses(7)
	if err != nil {
		return nil, err
	}
	n := &node{
		name:     name,
		service:  service,
		program:  config.Program,
		file:     filepath.Join(config.Folder, name+".yaml"),
		logFile:  filepath.Join(config.Folder, name+".log"),
		clock:    filepath.Join(config.Folder, name+".suspended"),
		outbound: free[1],
	}
	n.backend = platformbackend.New(platformbackend.Config{
		Service:           service,
		Address:           free[0],
		OutboundAddress:   n.outbound,
		HeartbeatAddress:  free[3],
		Host:              host,
		Slots:             backendSlots,
		WorkTime:          backendWork,
		HeartbeatInterval: backendBeat,
		Observer:          observer,
	})
	lines := []string{
		"id: " + name, "service: " + service, "backend: " + free[0], "outbound: " + n.outbound, "entry: true",
		"readiness: " + free[2], "heartbeats: " + free[3], "control: " + free[4], "admin: " + free[5], "listen: " + free[6],
		"store: " + store, "store_api: platform", "policy_required: true", "claims: false",
		"probe_interval: 500ms", "stop_within: " + stopWithin.String(), "backend_drain: " + drainTime.String(),
		"retry_budget: {ratio: 0.2, slack: 100, window: 10s}", "log: {format: json}",
	}
	if err := os.WriteFile(n.file, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
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
	defer log.Close() // the process has its own descriptor
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.cmd = exec.Command(n.program, "node", "--config", n.file)
	n.cmd.Env = append(os.Environ(), clockVariable+"="+n.clock)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.stopped, n.orderly = false, false
	n.exited = make(chan struct{})
	if err := n.cmd.Start(); err != nil {
		return fmt.Errorf("starting %s: %w", n.name, err)
	}
	go n.wait(n.cmd, n.exited)
	return nil
}

// wait waits for the end of a process and tells when it ended by itself.
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

// signal sends a signal to the process that was started last.
func (n *node) signal(signal syscall.Signal) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.cmd != nil && n.cmd.Process != nil {
		_ = n.cmd.Process.Signal(signal) // it may have ended
	}
}

// kill ends the process at once.
func (n *node) kill() {
	n.mutex.Lock()
	n.stopped = true
	exited := n.exited
	n.mutex.Unlock()
	n.signal(syscall.SIGCONT)
	n.signal(syscall.SIGKILL)
	<-exited
}

// terminate stops the process in order and reports whether it ended in time.
func (n *node) terminate() bool {
	n.mutex.Lock()
	n.stopped, n.orderly = true, true
	exited := n.exited
	n.mutex.Unlock()
	n.signal(syscall.SIGTERM)
	select {
	case <-exited:
		return true
	case <-time.After(2 * stopWithin):
		n.kill()
		return false
	}
}

// suspend stops the process for a moment and lets it go on with a clock that has gone on for
// longer, as that of a suspended machine.
func (n *node) suspend(duration time.Duration) error {
	n.signal(syscall.SIGSTOP)
	defer n.signal(syscall.SIGCONT)
	time.Sleep(suspensionStop)
	n.suspended += duration
	return writeWhole(n.clock, strconv.FormatInt(int64(n.suspended), 10))
}

// suspensionStop is how long a process stands still for a suspension.
const suspensionStop = 200 * time.Millisecond

// writeWhole replaces a file, so that a reader never sees a part of it.
func writeWhole(path, text string) error {
	next := path + ".next"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return fmt.Errorf("writing %s: %w", path, err)
	}
	if err := os.Rename(next, path); err != nil {
		return fmt.Errorf("writing %s: %w", path, err)
	}
	return nil
}

// stopsInOrder reports whether the process was told to stop in order.
func (n *node) stopsInOrder() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.orderly
}
