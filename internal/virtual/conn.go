package virtual

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// stream carries bytes in one direction of a connection.
type stream struct {
	network  *Network
	from, to string // hosts
	lost     atomic.Bool

	mutex    sync.Mutex
	chunks   []chunk
	ended    bool          // the writer has closed; the reader gets the remaining chunks first
	endsAt   time.Time     // when the end arrives
	given    bool          // the reader has closed
	changed  chan struct{} // closed and replaced at each change
	deadline time.Time     // of reads
}

// chunk is what one call of Write sent.
type chunk struct {
	data      []byte
	arrivesAt time.Time
}

func (s *stream) update(change func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) write(data []byte) (int, error) {
	err := error(nil)
	s.update(func() {
		if s.ended || s.given {
			err = net.ErrClosed
			return
		}
		s.chunks = append(s.chunks, chunk{data: append([]byte{}, data...), arrivesAt: time.Now().Add(s.network.delay)})
	})
	if err != nil {
		return 0, err
	}
	return len(data), nil
}

// read waits for bytes, the end of the stream or the deadline.
func (s *stream) read(into []byte) (int, error) {
	for {
		blocked, unblocked := s.network.blocked(s.from, s.to)
		count, again, changed, err := s.take(into, blocked)
		if count > 0 || err != nil {
			return count, err
		}
		timer := time.NewTimer(again)
		select {
		case <-changed:
		case <-unblocked:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// idleWait is longer than any test; reads without a deadline wait for a change.
const idleWait = 24 * time.Hour

// take returns the bytes that have arrived. If there are none, it returns how long to wait at most
// before the next call, and a channel that is closed at the next change.
func (s *stream) take(into []byte, blocked bool) (count int, again time.Duration, changed <-chan struct{}, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	if s.given {
		return 0, 0, nil, net.ErrClosed
	}
	again = idleWait
	if !s.deadline.IsZero() {
		again = s.deadline.Sub(now)
		if again <= 0 {
			return 0, 0, nil, os.ErrDeadlineExceeded
		}
	}
	if blocked || s.lost.Load() {
		return 0, again, s.changed, nil
	}
	if len(s.chunks) == 0 {
		if s.ended && !now.Before(s.endsAt) {
			return 0, 0, nil, io.EOF
		}
		if s.ended {
			again = min(again, s.endsAt.Sub(now))
		}
		return 0, again, s.changed, nil
	}
	first := &s.chunks[0]
	if now.Before(first.arrivesAt) {
		return 0, min(again, first.arrivesAt.Sub(now)), s.changed, nil
	}
	count = copy(into, first.data)
	first.data = first.data[count:]
	if len(first.data) == 0 {
		s.chunks = s.chunks[1:]
	}
	return count, 0, nil, nil
}

// conn is one end of a connection.
type conn struct {
	local, remote address
	in, out       *stream
}

// pair returns both ends of a new connection.
func (n *Network) pair(from, to, target string) (near, far net.Conn) {
	there := &stream{network: n, from: from, to: to, changed: make(chan struct{})}
	back := &stream{network: n, from: to, to: from, changed: make(chan struct{})}
	n.mutex.Lock()
	n.streams[there], n.streams[back] = true, true
	n.mutex.Unlock()
	caller := address(net.JoinHostPort(from, "0"))
	return &conn{local: caller, remote: address(target), in: back, out: there},
		&conn{local: address(target), remote: caller, in: there, out: back}
}

// Read implements net.Conn.
func (c *conn) Read(data []byte) (int, error) { return c.in.read(data) }

// Write implements net.Conn. It never blocks.
func (c *conn) Write(data []byte) (int, error) { return c.out.write(data) }

// Close implements net.Conn.
func (c *conn) Close() error {
	c.out.update(func() {
		c.out.ended = true
		c.out.endsAt = time.Now().Add(c.out.network.delay)
	})
	c.in.update(func() { c.in.given = true })
	c.in.network.forget(c.in)
	return nil
}

// forget removes a stream that nobody reads any more.
func (n *Network) forget(s *stream) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.streams, s)
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(at time.Time) error { return c.SetReadDeadline(at) }

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(at time.Time) error {
	c.in.update(func() { c.in.deadline = at })
	return nil
}

// SetWriteDeadline implements net.Conn. Writes never block.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }
