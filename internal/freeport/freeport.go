// Package freeport finds free loopback addresses for the listeners of processes that a
// test or soak starts.
package freeport

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// Ports are below the kernel's range of ephemeral ports. A port of that range could be
// taken by an outgoing connection before the process binds it, or between two binds.
const (
	firstPort = 20000
	lastPort  = 32000
	// portsPerProcess is the distance between the first ports of processes with
	// consecutive process IDs, so that concurrent processes try different ports.
	portsPerProcess = 64
)

var next atomic.Int64

// ErrNoFreePort is returned when no port is free.
var ErrNoFreePort = errors.New("no free port between 20000 and 32000")

// Address returns a loopback address on which nothing listens. Within a process, it
// does not return an address again until it has tried all other ports. It returns
// ErrNoFreePort if no port is free.
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
	return "", ErrNoFreePort
}
