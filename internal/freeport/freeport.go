// Package freeport finds loopback addresses for the listeners of processes that a test or
// a soak starts.
package freeport

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// Ports are taken from below the range from which the system takes ports for outgoing
// connections: a port from that range that is free now may be in use when the process
// binds it, or binds it again.
const (
	firstPort = 20000
	lastPort  = 32000
	// portsPerProcess spreads the searches of processes that run at the same time.
	portsPerProcess = 64
)

var next atomic.Int64

// ErrNone is returned when no port is free.
var ErrNone = errors.New("no port is free")

// Address returns a loopback address on which nothing listens now, and which it has not
// returned lately.
func Address() (string, error) {
	for range lastPort - firstPort {
		port := firstPort + (int64(os.Getpid())*portsPerProcess+next.Add(1))%(lastPort-firstPort)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		listener, err := net.Listen("tcp", address)
		if err == nil {
			_ = listener.Close()
			return address, nil
		}
	}
	return "", ErrNone
}
