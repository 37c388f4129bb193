package kernel

import "net"

// countingListener accepts connections as controlConns.
type countingListener struct {
	net.Listener
	counters *Counters
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return controlConn{Conn: conn, counters: l.counters}, nil
}

// controlConn is a connection that adds the bytes it transfers to the control counters.
type controlConn struct {
	net.Conn
	counters *Counters
}

// Read implements net.Conn.
func (c controlConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.counters.ControlReceived.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c controlConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.counters.ControlSent.Add(int64(n))
	return n, err
}
