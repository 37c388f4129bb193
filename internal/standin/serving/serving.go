// Package serving is the common part of the back end stubs: slots, the listener and the
// client for calls. Packages backend and platformbackend implement the protocols. It keeps no
// state apart from the slots, servers and clients that it returns, and uses no other package
// of this module.
package serving

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"
)

// Slots limits the requests that a back end works on at the same time.
type Slots struct {
	running  chan struct{} // Requests being worked on.
	admitted chan struct{} // Requests being worked on or queued.
}

// NewSlots returns a number of slots with a queue for requests that wait for one. With 0
// slots there is no limit.
func NewSlots(slots, queue int) *Slots {
	if slots == 0 {
		return &Slots{}
	}
	return &Slots{running: make(chan struct{}, slots), admitted: make(chan struct{}, slots+queue)}
}

// Take waits for a slot. It returns false if the queue is full or ctx is done.
func (s *Slots) Take(ctx context.Context) (release func(), ok bool) {
	if s.running == nil {
		return func() {}, true
	}
	select {
	case s.admitted <- struct{}{}:
	default:
		return nil, false
	}
	select {
	case s.running <- struct{}{}:
		return func() { <-s.running; <-s.admitted }, true
	case <-ctx.Done():
		<-s.admitted
		return nil, false
	}
}

// headerTimeout is the time limit for reading the header of a request.
const headerTimeout = 10 * time.Second

// Listen serves at an address, IP:port, until the server is shut down or closed. Addr of
// the server is the actual address, also if the port was 0.
func Listen(address string, handler http.Handler) (*http.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("starting a back end: %w", err)
	}
	server := &http.Server{Addr: listener.Addr().String(), Handler: handler, ReadHeaderTimeout: headerTimeout, ConnContext: withConn}
	go func() { _ = server.Serve(listener) }()
	return server, nil
}

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// Conn returns the connection of a request. A stub that sends wrong bytes writes to it directly.
func Conn(r *http.Request) net.Conn {
	conn, _ := r.Context().Value(connKey{}).(net.Conn)
	return conn
}

// NewClient returns a client for the calls of a back end.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 64,
		DisableCompression:  true,
	}}
}
