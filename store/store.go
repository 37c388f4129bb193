// Package store defines the services that loomcleat needs from the platform it runs on:
// a key-value store with compare-and-swap, leases and watches, and a list of machines.
// It has no state of its own. Adapters implement the interfaces; each must pass the
// contract test in package storetest.
//
// Both services may be slow, rate-limited or down for a long time. The answer to a write
// may be lost after the write has taken effect. The machine list may be out of date.
package store

import (
	"context"
	"time"
)

// Era counts how often a store was restored from an older copy of its data. A restore loses what was
// written since, and indexes and positions are given out again, so that they can be compared within an
// era only. It is 0 for a store that does not tell it.
type Era uint64

// Entry is one key of the store.
type Entry struct {
	Value  []byte
	Index  uint64 // changes with each write of the key; 0 if the key does not exist
	Exists bool
	// WatchPosition is the position to pass to Store.Watch in order to wait for the next change.
	WatchPosition uint64
	// Era of the store in which the entry was read.
	Era Era
}

// Store is the platform's key-value service. Errors are of type *result.Error. The code is
// result.StoreUnavailable if the operation certainly had no effect, and
// result.EditOutcomeUnknown if a write may have taken effect.
type Store interface {
	// Get reads one key. It returns no error for a key that does not exist.
	Get(ctx context.Context, key string) (Entry, error)

	// CompareAndSwap writes value if the key still has the given index; with index 0,
	// the key must not exist. It reports whether it wrote.
	CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (bool, error)

	// Watch blocks until the key has changed since the position after, or until
	// wait has passed, and returns the current entry. It may return early without
	// a change.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Entry, error)

	// AcquireLease tries to acquire the named lease for ttl and reports whether it
	// did. After a lease has expired, another process may acquire it before the
	// former holder notices. Use leases only to avoid duplicate work, never for
	// mutual exclusion that correctness depends on.
	AcquireLease(ctx context.Context, name, holder string, ttl time.Duration) (Lease, bool, error)
}

// Lease is an acquired lease.
type Lease interface {
	// Renew extends the lease. It reports false if the lease has expired.
	Renew(ctx context.Context) (bool, error)
	// Release ends the lease, so that others can acquire it.
	Release(ctx context.Context) error
}

// MachineState is the state of a machine according to the machine list.
type MachineState string

// Machine states.
const (
	MachineLive    MachineState = "live"
	MachineLeaving MachineState = "leaving"
)

// Machine is one row of the machine list.
type Machine struct {
	ID      string
	Control string // control address of the process on the machine
	Zone    string
	State   MachineState
}

// Registry is the service with which processes register, so that others find them in the
// MachineList. Both may be the same service. Errors are as for Store.
type Registry interface {
	// Register adds a process. It replaces any entry with the same control address.
	Register(ctx context.Context, machine Machine) error
	// Era returns the highest era of the registry that was seen, 0 if it does not tell it.
	Era() Era
	// Deregister removes the entry with a control address.
	Deregister(ctx context.Context, control string) error
}

// MachineList is the platform's list of machines. It may be out of date: a listed machine
// may no longer exist, and a new one may be missing. Errors are as for Store.
type MachineList interface {
	List(ctx context.Context) ([]Machine, error)
}
