package lab

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/loomcleat/loomcleat/kernel"
)

// partition simulates a network partition between processes of a mesh: new connections
// between the two sides are refused, and open ones break at their next read or write.
type partition struct {
	mutex    sync.Mutex
	ids      map[string]string // settings id by address, of the processes at the time of isolate
	isolated map[string]bool   // settings ids of the isolated processes
}

var errPartitioned = errors.New("connection blocked by the simulated partition")

// isolate separates the given processes of a mesh from all others. It replaces an earlier
// partition.
func (p *partition) isolate(mesh *Mesh, processes ...*kernel.Process) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.ids, p.isolated = map[string]string{}, map[string]bool{}
	for _, process := range mesh.Processes() {
		p.ids[process.ControlAddress()] = process.Settings.ID
		p.ids[process.TrafficAddress()] = process.Settings.ID
	}
	for _, process := range processes {
		p.isolated[process.Settings.ID] = true
	}
}

// heal removes the partition.
func (p *partition) heal() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.isolated = nil
}

// separated reports whether the process with the settings id from cannot reach the address.
func (p *partition) separated(from, address string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.isolated[from] != p.isolated[p.ids[address]]
}

// dialFunc returns the dial function of the process with the given settings id.
func (p *partition) dialFunc(id string) kernel.DialFunc {
	dialer := net.Dialer{Timeout: time.Second}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if p.separated(id, address) {
			return nil, errPartitioned
		}
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &partitionedConn{Conn: conn, partition: p, from: id, to: address}, nil
	}
}

// partitionedConn is a connection that breaks when its ends become separated.
type partitionedConn struct {
	net.Conn
	partition *partition
	from, to  string
}

// Read implements net.Conn.
func (p *partitionedConn) Read(data []byte) (int, error) {
	n, err := p.Conn.Read(data)
	if p.partition.separated(p.from, p.to) {
		_ = p.Conn.Close()
		return 0, errPartitioned
	}
	return n, err
}

// Write implements net.Conn.
func (p *partitionedConn) Write(data []byte) (int, error) {
	if p.partition.separated(p.from, p.to) {
		_ = p.Conn.Close()
		return 0, errPartitioned
	}
	return p.Conn.Write(data)
}
