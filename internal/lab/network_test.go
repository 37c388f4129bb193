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
	names map[string]string // address to settings id, of the processes at the time of the cut
	away  map[string]bool   // settings ids on the far side
}

var errCut = errors.New("cut off")

// cut separates the given processes of a mesh from all others.
func (c *cuts) cut(mesh *Mesh, processes ...*kernel.Process) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.names, c.away = map[string]string{}, map[string]bool{}
	for _, process := range mesh.Processes() {
		c.names[process.ControlAddress()] = process.Settings.ID
		c.names[process.TrafficAddress()] = process.Settings.ID
	}
	for _, process := range processes {
		c.away[process.Settings.ID] = true
	}
}

// heal ends a cut.
func (c *cuts) heal() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.away = nil
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
