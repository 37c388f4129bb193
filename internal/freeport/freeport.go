// Package freeport reserves loopback addresses for the listeners of processes that a test or
// soak starts.
//
// An address stays reserved until the process that reserved it ends, also while nothing listens
// there: a process under test that is down for a while finds its address free when it starts
// again. Package freeport relies on a lock file for each port in the temporary folder, which the
// kernel releases when the owner ends.
package freeport

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
)

// Ports are below the kernel's range of ephemeral ports. A port of that range could be
// taken by an outgoing connection before the process binds it, or between two binds.
const (
	firstPort = 20000
	lastPort  = 32000
	// portsPerProcess is the distance between the first ports of processes with
	// consecutive process IDs, so that concurrent processes seldom try the same ports.
	portsPerProcess = 64
)

// ErrNoFreePort is returned when no port is free.
var ErrNoFreePort = errors.New("no free port between 20000 and 32000")

// reservations holds the lock files of this process. A lock is released when its file is closed.
type reservations struct {
	mutex  sync.Mutex
	folder string
	// Offset of the next port to try.
	next  int
	locks []*os.File
}

var own = reservations{folder: filepath.Join(os.TempDir(), "loomcleat-ports"), next: os.Getpid() * portsPerProcess}

// Address returns a loopback address on which nothing listens, and reserves it for this process
// until it ends. It returns ErrNoFreePort if no port is free.
func Address() (string, error) { return own.reserve() }

func (r *reservations) reserve() (string, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if err := os.MkdirAll(r.folder, 0o777); err != nil {
		return "", fmt.Errorf("creating the folder of port locks: %w", err)
	}
	for range lastPort - firstPort {
		port := firstPort + r.next%(lastPort-firstPort)
		r.next++
		address := fmt.Sprintf("127.0.0.1:%d", port)
		lock, err := r.lock(port)
		if err != nil {
			return "", err
		}
		if lock == nil {
			continue
		}
		if isFree(address) {
			r.locks = append(r.locks, lock)
			return address, nil
		}
		_ = lock.Close()
	}
	return "", ErrNoFreePort
}

// lock reserves a port until the returned file is closed. It returns nil if the port is reserved
// already, by this process or another one.
func (r *reservations) lock(port int) (*os.File, error) {
	file, err := os.OpenFile(filepath.Join(r.folder, fmt.Sprint(port)), os.O_CREATE|os.O_RDWR, 0o666)
	if err != nil {
		return nil, fmt.Errorf("opening a port lock: %w", err)
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = file.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, nil
		}
		return nil, fmt.Errorf("locking a port: %w", err)
	}
	return file, nil
}

// isFree reports whether nothing listens on an address.
func isFree(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	_ = listener.Close()
	return true
}
