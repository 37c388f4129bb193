// Package serving is the common part of the stand-ins for back ends: slots, the listener
// and the client for calls. Packages backend and platformbackend are its two protocols.
package serving

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"
)

// Slots bounds the requests that a back end works on at once.
type Slots struct {
	busy  chan struct{}
	taken chan struct{} // busy or waiting
}

// NewSlots returns slots with a queue of requests that may wait for one. 0 slots are no
// bound.
func NewSlots(slots, queue int) *Slots {
	if slots == 0 {
		return &Slots{}
	}
	return &Slots{busy: make(chan struct{}, slots), taken: make(chan struct{}, slots+queue)}
}

// Take waits for a slot. It reports false when the queue is full or ctx has ended.
func (s *Slots) Take(ctx context.Context) (release func(), ok bool) {
	if s.busy == nil {
		return func() {}, true
	}
	select {
	case s.taken <- struct{}{}:
	default:
		return nil, false
	}
	select {
	case s.busy <- struct{}{}:
		return func() { <-s.busy; <-s.taken }, true
	case <-ctx.Done():
		<-s.taken
		return nil, false
	}
}

// headerTimeout is the time within which the head of a request must have come.
const headerTimeout = 10 * time.Second

// Listen serves at an address, IP:port, until the server is shut down or closed. Addr of
// the server is where it listens, also when the port was 0.
func Listen(address string, handler http.Handler) (*http.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("starting a back end: %w", err)
	}
	server := &http.Server{Addr: listener.Addr().String(), Handler: handler, ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(listener) }()
	return server, nil
}

// NewClient returns a client for the calls of a back end.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 64,
		DisableCompression:  true,
	}}
}
