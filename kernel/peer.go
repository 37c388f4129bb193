package kernel

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/transport/lingering"
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
	if conn := lingeringConnOf(r); conn != nil {
		conn.ResetOnClose()
	}
}

// lingeringConnOf returns the connection of a request under those of package kernel, nil when there is none.
func lingeringConnOf(r *http.Request) *lingering.Conn {
	switch conn := r.Context().Value(connectionKey{}).(type) {
	case *callerConn:
		return conn.Conn
	case *lingering.Conn:
		return conn
	default:
		return nil
	}
}

// endReading makes the connection of a request give no more bytes to the server, and close in stages.
func endReading(r *http.Request) {
	if conn := lingeringConnOf(r); conn != nil {
		conn.EndReading()
	}
}

// maximumLingering bounds the time from the last answer on a connection until it is closed, while the
// caller still writes.
const maximumLingering = 30 * time.Second

// closeInBackground runs the close of a connection. It counts as a call in flight, which ends with the
// last calls of a stopping process.
func (p *Process) closeInBackground(run func(context.Context)) {
	p.Go(func() {
		ctx, finish := p.CallContext(p.context, clock.Now().Add(maximumLingering))
		defer finish()
		run(ctx)
	})
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
	if socket.PeerClosed(c.Conn.Conn) {
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
