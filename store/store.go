// Package store defines what loomcleat needs from the platform it runs on:
// a key-value store with compare-and-swap, leases and watches, and a list of
// machines. Adapters implement the interfaces; each adapter must pass the
// contract test in package storetest.
//
// Both services may be slow, rate-limited or down for long. An answer may be
// lost after a write has taken effect. The machine list lags.
package store

import (
	"context"
	"time"
)

// Entry is one key of the store.
type Entry struct {
	Value  []byte
	Index  uint64 // changes with each write of the key; 0 when it does not exist
	Exists bool
	// Watch is the position to pass to Store.Watch to wait for the next change.
	Watch uint64
}

// Store is the platform's key-value service. Errors are *result.Error with
// code result.StoreUnavailable when the operation certainly had no effect, or
// result.EditOutcomeUnknown when a write may have taken effect.
type Store interface {
	// Get reads one key. A key that does not exist is not an error.
	Get(ctx context.Context, key string) (Entry, error)

	// CompareAndSwap writes value if the key still has the given index; index 0
	// means that the key must not exist. It reports whether it wrote.
	CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (bool, error)

	// Watch waits until the key has changed since the position after, or until
	// wait has passed, and returns the entry then in force. It may return
	// early without a change.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Entry, error)

	// AcquireLease takes the lease with the given name for ttl and reports
	// whether it got it. A lease that lapsed may be held by another process
	// while its former holder does not know; it must guard nothing but effort.
	AcquireLease(ctx context.Context, name, holder string, ttl time.Duration) (Lease, bool, error)
}

// Lease is a lease that was acquired.
type Lease interface {
	// Renew extends the lease. It reports false when the lease has lapsed.
	Renew(ctx context.Context) (bool, error)
	// Release gives the lease back.
	Release(ctx context.Context) error
}

// MachineState is what the machine list says of a machine.
type MachineState string

// Machine states.
const (
	MachineLive    MachineState = "live"
	MachineLeaving MachineState = "leaving"
)

// Machine is one row of the machine list.
type Machine struct {
	ID      string
	Control string // control address of the process on it
	Zone    string
	State   MachineState
}

// Registry is where processes enter themselves, so that others find them in the
// MachineList. Both may be one service.
type Registry interface {
	// Register enters a process, over what is there for its control address.
	Register(ctx context.Context, machine Machine) error
	// Deregister removes the entry of a control address.
	Deregister(ctx context.Context, control string) error
}

// MachineList is the platform's list of machines. It lags: a machine on it may
// be gone, and a new one may be missing.
type MachineList interface {
	List(ctx context.Context) ([]Machine, error)
}
