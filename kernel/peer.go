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

// withConnection adds the connection to the context of its requests. It is the
// ConnContext of the servers.
func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// resetOnClose makes the close of the connection of an HTTP/1.0 request reset it. Callers of that
// version take any other close for the end of the answer.
func resetOnClose(r *http.Request) {
	if r.ProtoAtLeast(1, 1) {
		return
	}
	conn, _ := r.Context().Value(connectionKey{}).(net.Conn)
	if caller, ok := conn.(*callerConn); ok {
		conn = caller.Conn
	}
	if socket, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = socket.SetLinger(0) // fails if the connection is closed already
	}
}

// peerPollInterval is the time between two checks whether a caller is still connected.
const peerPollInterval = 200 * time.Millisecond

// recordLaterByte records that the server has read a byte of a later request,
// and schedules a check.
func (c *callerConn) recordLaterByte() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.laterByte = true
	c.schedulePoll()
}

// schedulePoll schedules a check of the connection. The caller holds mutex.
func (c *callerConn) schedulePoll() {
	switch {
	case !c.laterByte || c.onClose == nil:
	case c.pollTimer == nil:
		c.pollTimer = time.AfterFunc(peerPollInterval, c.poll)
	default:
		c.pollTimer.Reset(peerPollInterval)
	}
}

// poll calls onClose when the peer has closed the connection, and schedules another check
// otherwise.
func (c *callerConn) poll() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.onClose == nil {
		return
	}
	if socket.PeerClosed(c.Conn) {
		c.onClose()
		return
	}
	c.schedulePoll()
}

// watch calls onClose when the peer closes the connection, until unwatch is called. It polls
// only after the server has read a byte of a later request, because the server itself detects
// the close until then.
func (c *callerConn) watch(onClose func()) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.onClose = onClose
	c.answering = false
	c.schedulePoll()
}

func (c *callerConn) unwatch() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.onClose, c.laterByte = nil, false
	if c.pollTimer != nil {
		c.pollTimer.Stop()
	}
}

// watchPeer calls onClose when the caller of a request closes its connection and Go's server
// cannot detect that, until stop is called.
func watchPeer(r *http.Request, onClose func()) (stop func()) {
	conn := callerConnOf(r)
	if conn == nil {
		return func() {}
	}
	conn.watch(onClose)
	return conn.unwatch
}
