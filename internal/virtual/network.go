package virtual

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/loomcleat/loomcleat/kernel"
)

// Network is a TCP network in memory. Hosts are IP addresses.
type Network struct {
	mutex     sync.Mutex
	delay     time.Duration // one way
	listeners map[string]*listener
	silent    map[string]bool
	streams   map[*stream]bool // of open connections
	changed   chan struct{}    // closed and replaced when a host falls silent or is heard again
}

// NewNetwork returns a network whose links all have the given one-way delay.
func NewNetwork(delay time.Duration) *Network {
	return &Network{delay: delay, listeners: map[string]*listener{}, silent: map[string]bool{}, streams: map[*stream]bool{}, changed: make(chan struct{})}
}

// Silence holds all bytes from and to the given hosts back, without closing any connection, as a
// freeze, a cut or a loss of power does.
func (n *Network) Silence(hosts ...string) { n.setSilent(true, hosts) }

// Restore ends the silence of hosts. Bytes that were held back arrive.
func (n *Network) Restore(hosts ...string) { n.setSilent(false, hosts) }

// SilenceConnections loses all bytes of the connections to a host that are open now, for good and
// without a reset. New connections work.
func (n *Network) SilenceConnections(host string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for open := range n.streams {
		if open.from == host || open.to == host {
			open.lost.Store(true)
		}
	}
}

func (n *Network) setSilent(silent bool, hosts []string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, host := range hosts {
		n.silent[host] = silent
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

// blocked reports whether bytes between two hosts are held back, and returns a channel that is
// closed when that may change.
func (n *Network) blocked(one, other string) (bool, <-chan struct{}) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.silent[one] || n.silent[other], n.changed
}

// Listen binds an address. It is a kernel.ListenFunc.
func (n *Network) Listen(address string) (net.Listener, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.listeners[address] != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: syscall.EADDRINUSE}
	}
	bound := &listener{network: n, address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = bound
	return bound, nil
}

// Dialer returns a function that opens connections from a host. An attempt at a silent host ends
// after the timeout.
func (n *Network) Dialer(host string, timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		conn, err := n.dial(ctx, host, address)
		if err != nil {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: err}
		}
		return conn, nil
	}
}

func (n *Network) dial(ctx context.Context, from, address string) (net.Conn, error) {
	to, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	for {
		blocked, changed := n.blocked(from, to)
		if !blocked {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	kernel.Pause(ctx, 2*n.delay)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	n.mutex.Lock()
	target := n.listeners[address]
	n.mutex.Unlock()
	if target == nil {
		return nil, syscall.ECONNREFUSED
	}
	near, far := n.pair(from, to, address)
	select {
	case target.accepted <- far:
		return near, nil
	case <-target.closed:
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// listener is a bound address.
type listener struct {
	network  *Network
	address  string
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.mutex.Lock()
		delete(l.network.listeners, l.address)
		l.network.mutex.Unlock()
		close(l.closed)
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return address(l.address) }

// address is a network address as text.
type address string

func (address) Network() string  { return "tcp" }
func (a address) String() string { return string(a) }
