package harness

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Mesh is a small deployment.
type Mesh struct {
	Record   *Record
	Store    *Store
	Machines []*Machine
	folder   string
}

// Route is a route of the operator's configuration.
type Route struct {
	Name     string `json:"name"`
	Prefix   string `json:"path_prefix"`
	Type     string `json:"type"`
	Timeout  string `json:"timeout"`
	Target   string `json:"target_latency"`
	Priority int    `json:"priority"`
	Service  string `json:"service"`
	Attempts int    `json:"max_attempts"`
}

// Host is the host of all routes.
const Host = "jepu9.example"

// Settling is the time that a mesh gets before its clients begin, as at the users' sites.
const Settling = 8 * time.Second

// NewMesh prepares a mesh with one machine for each service listed, in turn in three zones. The program is
// that of the deploy file, so that the working folder must be the root of the repository.
func NewMesh(record *Record, services []string, routes []Route) (*Mesh, error) {
	program, err := filepath.Abs(filepath.Join("target", "loomcleat"))
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("run the build line of deploy/system.toml first: %w", err)
	}
	template, err := os.ReadFile(filepath.Join("deploy", "node.yaml"))
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	mesh := &Mesh{Record: record, Store: NewStore(), folder: folder}
	zones := []string{"hall-a", "hall-b", "hall-c"}
	for number, service := range services {
		machine, err := newMachine(folder, program, string(template), number, service, zones[number%len(zones)], mesh.Store.Address())
		if err != nil {
			mesh.Close()
			return nil, err
		}
		mesh.Machines = append(mesh.Machines, machine)
	}
	return mesh, mesh.configure(services, routes)
}

func (m *Mesh) configure(services []string, routes []Route) error {
	listed, seen := []map[string]any{}, map[string]bool{}
	for _, service := range services {
		if !seen[service] {
			listed = append(listed, map[string]any{"name": service, "health_path": "/health", "max_connections": 796, "protocol": "h1", "tls": false})
		}
		seen[service] = true
	}
	return m.Store.Configure(map[string]any{
		"version":  7,
		"services": listed,
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
		"hosts":    []any{map[string]any{"host": Host, "paths": routes}},
	})
}

// Start starts all nodes and waits until they are ready.
func (m *Mesh) Start() error {
	for _, machine := range m.Machines {
		if err := machine.Start(); err != nil {
			return err
		}
	}
	for _, machine := range m.Machines {
		if err := machine.AwaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// Close ends all processes. The logs of the nodes stay if KEEP_LOGS names a folder.
func (m *Mesh) Close() {
	for _, machine := range m.Machines {
		machine.Kill()
	}
	m.Store.Close()
	if kept := os.Getenv("KEEP_LOGS"); kept != "" {
		_ = os.CopyFS(kept, os.DirFS(m.folder))
	}
	_ = os.RemoveAll(m.folder)
}
