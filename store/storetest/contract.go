// Package storetest is the contract test for implementations of store.Store. Each adapter
// runs it against its service or a stub of it.
package storetest

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/store"
)

// Fault is a failure mode of the service under test.
type Fault int

// Faults.
const (
	Healthy Fault = iota
	Down
	RateLimited
	AnswerLost // the next write takes effect, but its answer is lost
	Slow       // the service takes longer than the adapter's timeout
)

// Subject is an adapter with a new, empty service.
type Subject struct {
	Store store.Store
	// SetFault sets the service's failure mode.
	SetFault func(Fault)
}

// Run checks that adapters made by newSubject fulfil the contract.
func Run(t *testing.T, newSubject func(t *testing.T) Subject) {
	t.Run("a missing key is not an error", func(t *testing.T) { testMissing(t, newSubject(t)) })
	t.Run("compare-and-swap", func(t *testing.T) { testCompareAndSwap(t, newSubject(t)) })
	t.Run("one winner among racing writers", func(t *testing.T) { testRace(t, newSubject(t)) })
	t.Run("watch", func(t *testing.T) { testWatch(t, newSubject(t)) })
	t.Run("lease", func(t *testing.T) { testLease(t, newSubject(t)) })
	for _, c := range faultCases {
		t.Run(c.name, func(t *testing.T) { testFault(t, newSubject(t), c) })
	}
}

// faultCase gives the expected results of a write and a read under a fault, and whether
// the write takes effect.
type faultCase struct {
	name      string
	fault     Fault
	readCode  result.Code // 0: no error
	writeCode []result.Code
	written   []bool // allowed values of whether the write took effect
}

var faultCases = []faultCase{
	{"healthy", Healthy, 0, []result.Code{0}, []bool{true}},
	{"down", Down, result.StoreUnavailable, []result.Code{result.EditOutcomeUnknown, result.StoreUnavailable}, []bool{false}},
	{"rate limited", RateLimited, result.StoreUnavailable, []result.Code{result.StoreUnavailable}, []bool{false}},
	{"answer lost after the write", AnswerLost, 0, []result.Code{result.EditOutcomeUnknown}, []bool{true}},
	{"slower than the timeout", Slow, result.StoreUnavailable, []result.Code{result.EditOutcomeUnknown}, []bool{true, false}},
}

func codeOf(err error) result.Code {
	var typed *result.Error
	if err == nil {
		return 0
	}
	if errors.As(err, &typed) {
		return typed.Code
	}
	return result.Internal
}

func contains[T comparable](list []T, value T) bool {
	for _, candidate := range list {
		if candidate == value {
			return true
		}
	}
	return false
}

func testFault(t *testing.T, s Subject, c faultCase) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	s.SetFault(c.fault)
	wrote, err := s.Store.CompareAndSwap(ctx, "contract/key", []byte("1"), 0)
	is.True(contains(c.writeCode, codeOf(err))) // the write returns one of the codes for this fault
	is.Equal(wrote, err == nil)                 // a write that returns an error does not report success
	_, err = s.Store.Get(ctx, "contract/key")
	is.Equal(codeOf(err), c.readCode)
	is.NoErr(ctx.Err()) // the adapter's own timeout ended the calls
	s.SetFault(Healthy)
	entry, err := s.Store.Get(ctx, "contract/key")
	is.NoErr(err)
	is.True(contains(c.written, entry.Exists))
}

func testMissing(t *testing.T, s Subject) {
	is := is.New(t)
	entry, err := s.Store.Get(t.Context(), "contract/missing")
	is.NoErr(err)
	is.True(!entry.Exists)
	is.Equal(entry.Index, uint64(0))
}

func testCompareAndSwap(t *testing.T, s Subject) {
	is := is.New(t)
	ctx := t.Context()
	wrote, err := s.Store.CompareAndSwap(ctx, "contract/a b?c", []byte("one"), 0)
	is.NoErr(err)
	is.True(wrote)
	wrote, err = s.Store.CompareAndSwap(ctx, "contract/a b?c", []byte("two"), 0)
	is.NoErr(err)
	is.True(!wrote) // the key exists
	first, err := s.Store.Get(ctx, "contract/a b?c")
	is.NoErr(err)
	is.Equal(string(first.Value), "one")
	wrote, err = s.Store.CompareAndSwap(ctx, "contract/a b?c", []byte("two"), first.Index)
	is.NoErr(err)
	is.True(wrote)
	wrote, err = s.Store.CompareAndSwap(ctx, "contract/a b?c", []byte("three"), first.Index)
	is.NoErr(err)
	is.True(!wrote) // the index has changed
	second, err := s.Store.Get(ctx, "contract/a b?c")
	is.NoErr(err)
	is.Equal(string(second.Value), "two")
	is.True(second.Index > first.Index)
}

func testRace(t *testing.T, s Subject) {
	is := is.New(t)
	const writers = 8
	var group sync.WaitGroup
	wins := make(chan int, writers)
	for writer := range writers {
		group.Go(func() {
			wrote, err := s.Store.CompareAndSwap(t.Context(), "contract/race", fmt.Append(nil, writer), 0)
			if err == nil && wrote {
				wins <- writer
			}
		})
	}
	group.Wait()
	is.Equal(len(wins), 1)
	entry, err := s.Store.Get(t.Context(), "contract/race")
	is.NoErr(err)
	is.Equal(string(entry.Value), fmt.Sprint(<-wins))
}

func testWatch(t *testing.T, s Subject) {
	is := is.New(t)
	ctx := t.Context()
	_, err := s.Store.CompareAndSwap(ctx, "contract/watch", []byte("one"), 0)
	is.NoErr(err)
	entry, err := s.Store.Get(ctx, "contract/watch")
	is.NoErr(err)
	unchanged, err := s.Store.Watch(ctx, "contract/watch", entry.WatchPosition, 20*time.Millisecond)
	is.NoErr(err)
	is.Equal(unchanged.Index, entry.Index)
	seen := make(chan store.Entry, 1)
	go func() {
		changed, watchErr := s.Store.Watch(ctx, "contract/watch", entry.WatchPosition, 30*time.Second)
		if watchErr == nil {
			seen <- changed
		}
		close(seen)
	}()
	_, err = s.Store.CompareAndSwap(ctx, "contract/watch", []byte("two"), entry.Index)
	is.NoErr(err)
	changed := <-seen
	is.Equal(string(changed.Value), "two")
}

func testLease(t *testing.T, s Subject) {
	is := is.New(t)
	ctx := t.Context()
	lease, acquired, err := s.Store.AcquireLease(ctx, "contract/lease", "one", 10*time.Second)
	is.NoErr(err)
	is.True(acquired)
	_, acquired, err = s.Store.AcquireLease(ctx, "contract/lease", "two", 10*time.Second)
	is.NoErr(err)
	is.True(!acquired) // another holder has the lease
	alive, err := lease.Renew(ctx)
	is.NoErr(err)
	is.True(alive)
	is.NoErr(lease.Release(ctx))
	alive, err = lease.Renew(ctx)
	is.NoErr(err)
	is.True(!alive) // the lease was released
	other, acquired, err := s.Store.AcquireLease(ctx, "contract/lease", "two", 10*time.Second)
	is.NoErr(err)
	is.True(acquired)
	is.NoErr(other.Release(ctx))
}
