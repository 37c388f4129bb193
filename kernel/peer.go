package kernel

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/loomcleat/loomcleat/transport/socket"
)

// connectionKey is the key of the connection in the context of a request.
type connectionKey struct{}

// withConnection makes the connection of a request known to its handler. It is
// the ConnContext of the servers.
func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// peerInterval is the time between two looks at whether a caller is still there.
const peerInterval = 200 * time.Millisecond

// foundMore takes note of a byte behind the request that is being served.
func (c *callerConn) foundMore() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.behind = true
	c.lookLater()
}

// lookLater has the connection looked at after a while. The mutex is held.
func (c *callerConn) lookLater() {
	switch {
	case !c.behind || c.gone == nil:
	case c.look == nil:
		c.look = time.AfterFunc(peerInterval, c.lookNow)
	default:
		c.look.Reset(peerInterval)
	}
}

func (c *callerConn) lookNow() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.gone == nil {
		return
	}
	if socket.Ended(c.Conn) {
		c.gone()
		return
	}
	c.lookLater()
}

// watch calls gone when the peer closes the connection while a later request
// lies on it, until unwatch is called.
func (c *callerConn) watch(gone func()) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.gone = gone
	c.answering = false
	c.lookLater()
}

func (c *callerConn) unwatch() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.gone, c.behind = nil, false
	if c.look != nil {
		c.look.Stop()
	}
}

// watchPeer calls gone when the caller of a request closes its connection and
// Go's server cannot notice it, until stop is called.
func watchPeer(r *http.Request, gone func()) (stop func()) {
	conn := callerConnOf(r)
	if conn == nil {
		return func() {}
	}
	conn.watch(gone)
	return conn.unwatch
}
