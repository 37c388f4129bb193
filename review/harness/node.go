package harness

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of a small deployment, as its settings and pages name them.
const (
	Contact = 3 * time.Second
	Drain   = 2 * time.Second
	Grace   = 6 * time.Second
)

// Ports of every machine.
const (
	portInbound  = 8300
	portApp      = 8301
	portReady    = 8302
	portOutbound = 8304
	portControl  = 8306
	portInternal = 7620
	portMetrics  = 9464
)

// Machine is a machine with its node. The back end runs beside it.
type Machine struct {
	Name    string
	Service string
	IP      string

	program  string
	settings string
	log      string

	mutex  sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

func (m *Machine) address(port int) string { return fmt.Sprintf("%s:%d", m.IP, port) }

// App returns the address of the back end.
func (m *Machine) App() string { return m.address(portApp) }

// Outbound returns the address to which clients on the machine send requests.
func (m *Machine) Outbound() string { return m.address(portOutbound) }

// ControlAddress returns the address to which the back end sends heartbeats.
func (m *Machine) ControlAddress() string { return m.address(portControl) }

// freeIP returns a loopback address on which the ports of a machine are free.
func freeIP(number int) (string, error) {
	for try := range 200 {
		seed := os.Getpid() + try*7919
		ip := fmt.Sprintf("127.%d.%d.%d", 10+seed%200, seed/200%250, 1+number)
		if portsFree(ip) {
			return ip, nil
		}
	}
	return "", errors.New("no free loopback address")
}

func portsFree(ip string) bool {
	for _, port := range []int{portInbound, portApp, portReady, portOutbound, portControl, portInternal, portMetrics} {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}(.*?)\{\{/[a-z_.]+\}\}`)
	gapPattern     = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)
)

// fill fills the template of the deploy file. Fields that are missing give nothing.
func fill(template string, fields map[string]string) string {
	filled := sectionPattern.ReplaceAllStringFunc(template, func(section string) string {
		parts := sectionPattern.FindStringSubmatch(section)
		if fields[parts[1]] == "" {
			return ""
		}
		return parts[2]
	})
	return gapPattern.ReplaceAllStringFunc(filled, func(gap string) string {
		return fields[strings.Trim(gap, "{}")]
	})
}

// newMachine writes the settings of a machine's node, from the template of the deploy file.
func newMachine(folder, program, template string, number int, service, zone, store string) (*Machine, error) {
	ip, err := freeIP(number)
	if err != nil {
		return nil, err
	}
	m := &Machine{Name: fmt.Sprintf("sidecar-%s-%d", zone, number), Service: service, IP: ip, program: program}
	m.settings = filepath.Join(folder, m.Name+".yaml")
	m.log = filepath.Join(folder, m.Name+".log")
	fields := map[string]string{
		"node": m.Name, "region": "cymru-south", "zone": zone, "service": service, "app_addr": m.App(), "ip": ip,
		"listen.inbound": m.address(portInbound), "listen.outbound": m.Outbound(), "listen.ready": m.address(portReady),
		"listen.control": m.ControlAddress(), "internal_ports.0": fmt.Sprint(portInternal), "platform.address": store,
		"bounds.drain": "2000ms", "bounds.grace": "6s",
		"bounds.retry_budget_ratio": "0.2", "bounds.retry_slack": "60", "bounds.budget_window": "10s",
	}
	return m, os.WriteFile(m.settings, []byte(fill(template, fields)), 0o600)
}

// Start starts the node with the command of the deploy file.
func (m *Machine) Start() error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	log, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	m.cmd = exec.Command(m.program, "node", "--config", m.settings)
	m.cmd.Env = append(os.Environ(), "LOOMCLEAT_SETTINGS="+m.settings)
	m.cmd.Stdout, m.cmd.Stderr = log, log
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // ends with the case
	m.exited = make(chan struct{})
	if err := m.cmd.Start(); err != nil {
		return err
	}
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(m.cmd, m.exited)
	return nil
}

// Signal sends a signal to the node.
func (m *Machine) Signal(signal syscall.Signal) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.cmd != nil && m.cmd.Process != nil {
		_ = m.cmd.Process.Signal(signal) // it may have ended
	}
}

// Terminate stops the node as the platform does: SIGTERM, and SIGKILL after the grace time.
func (m *Machine) Terminate() {
	m.Signal(syscall.SIGTERM)
	select {
	case <-m.exited:
	case <-time.After(Grace):
		m.Kill()
	}
}

// Kill kills the node and waits for its end.
func (m *Machine) Kill() {
	if m.exited == nil {
		return
	}
	m.Signal(syscall.SIGKILL)
	<-m.exited
}

// AwaitListening waits until the node accepts connections for heartbeats.
func (m *Machine) AwaitListening(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		conn, err := net.Dial("tcp", m.ControlAddress())
		if err == nil {
			_ = conn.Close()
			return nil
		}
	}
	return fmt.Errorf("%s does not listen", m.Name)
}

// AwaitReady waits until the node tells the platform that it is ready.
func (m *Machine) AwaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + m.address(portReady) + Protocol.ReadyPath)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", m.Name)
}
