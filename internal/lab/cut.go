package lab

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/loomcleat/loomcleat/kernel"
)

// cuts separates processes of a mesh: connections between the two sides are
// refused, and those that are open break at their next use.
type cuts struct {
	mutex sync.Mutex
	names map[string]string // address to settings id
	away  map[string]bool   // settings ids on the far side
}

var errCut = errors.New("cut off")

// name remembers the addresses of a process.
func (c *cuts) name(id string, process *kernel.Process) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.names == nil {
		c.names = map[string]string{}
	}
	c.names[process.ControlAddress()] = id
	c.names[process.TrafficAddress()] = id
}

// separated reports whether a cut lies between a process and an address.
func (c *cuts) separated(from, address string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.away[from] != c.away[c.names[address]]
}

// dialFrom returns the function through which a process reaches others.
func (c *cuts) dialFrom(id string) kernel.DialFunc {
	dialer := net.Dialer{Timeout: time.Second}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if c.separated(id, address) {
			return nil, errCut
		}
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &cutConn{Conn: conn, cuts: c, from: id, to: address}, nil
	}
}

// cutConn is a connection that breaks when its ends are separated.
type cutConn struct {
	net.Conn
	cuts     *cuts
	from, to string
}

// Read implements net.Conn.
func (c *cutConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if c.cuts.separated(c.from, c.to) {
		_ = c.Conn.Close()
		return 0, errCut
	}
	return n, err
}

// Write implements net.Conn.
func (c *cutConn) Write(data []byte) (int, error) {
	if c.cuts.separated(c.from, c.to) {
		_ = c.Conn.Close()
		return 0, errCut
	}
	return c.Conn.Write(data)
}

// Cut separates the given processes from all others.
func (m *Mesh) Cut(processes ...*kernel.Process) {
	m.cuts.mutex.Lock()
	defer m.cuts.mutex.Unlock()
	m.cuts.away = map[string]bool{}
	for _, process := range processes {
		m.cuts.away[process.Settings.ID] = true
	}
}

// Heal ends a cut.
func (m *Mesh) Heal() { m.Cut() }
