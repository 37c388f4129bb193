package instance

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/loomcleat/loomcleat/instance"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/membership"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/store"
	"github.com/loomcleat/loomcleat/wire"
)

// recordKeyPrefix, with the address of a back end, is the store key of the starts that have left there, a
// wire.LeftBackEnds in JSON. It preserves them when all processes end. A key is overwritten by the next start
// that leaves and never removed.
const recordKeyPrefix = "left/"

// Bounds of store access.
const (
	// acknowledgeTimeout is how long a back end waits for the acknowledgement that it leaves. It
	// gives a message up after a second.
	acknowledgeTimeout = 850 * time.Millisecond
	// storeAgainSpread is the time over which processes write their records again after the store
	// was restored from an older copy.
	storeAgainSpread = 2 * time.Second
)

// leftRecord keeps the starts that have left in the store. A nil *leftRecord keeps nothing, where there is
// no store.
type leftRecord struct {
	store store.Store
	key   string
	// Wakes the goroutine that writes.
	due chan struct{}
	// The entry in the store, if it is known. The goroutine that writes owns both.
	entry      store.Entry
	entryKnown bool

	// Guards the fields below.
	mutex sync.Mutex
	// Starts to be stored, the latest one at the end.
	wanted []instance.Start
	// Number of changes of wanted, and how many of them the store has.
	changes, stored uint64
	// Closed when stored grows.
	progress chan struct{}
	// The store was restored from an older copy, so that what is known of its entry does not hold.
	restored bool
}

func newLeftRecord(keyValues store.Store, backEnd string) *leftRecord {
	return &leftRecord{
		store:    keyValues,
		key:      recordKeyPrefix + backEnd,
		due:      make(chan struct{}, 1),
		progress: make(chan struct{}),
	}
}

// want sets the starts to be stored.
func (r *leftRecord) want(left []instance.Start) {
	if r == nil {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if slices.Equal(r.wanted, left) {
		return
	}
	r.wanted = slices.Clone(left)
	r.changes++
	kernel.Wake(r.due)
}

// await waits until all starts that are wanted now are in the store. It returns a result.StoreUnavailable
// error if that takes too long; they are then stored later.
func (r *leftRecord) await(ctx context.Context) error {
	if r == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, acknowledgeTimeout)
	defer cancel()
	r.mutex.Lock()
	needed := r.changes
	r.mutex.Unlock()
	for {
		stored, progress := r.status()
		if stored >= needed {
			return nil
		}
		select {
		case <-progress:
		case <-ctx.Done():
			return result.Wrap(result.StoreUnavailable, ctx.Err(), "the store does not know yet that the back end leaves").WithUsualRetryAfter()
		}
	}
}

func (r *leftRecord) status() (stored uint64, progress <-chan struct{}) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.stored, r.progress
}

// setStored records that the store has a number of changes.
func (r *leftRecord) setStored(changes uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if changes <= r.stored {
		return
	}
	r.stored = changes
	close(r.progress)
	r.progress = make(chan struct{})
}

// forgetStored makes the record be written again after the store was restored from an older copy.
func (r *leftRecord) forgetStored() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.restored = true
	if len(r.wanted) == 0 {
		return
	}
	r.changes++
	time.AfterFunc(rand.N(storeAgainSpread), func() { kernel.Wake(r.due) })
}

// takeChanges returns the changes to be written, and whether the store was restored since the last call.
func (r *leftRecord) takeChanges() (wanted []instance.Start, changes uint64, restored bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	restored, r.restored = r.restored, false
	return r.wanted, r.changes, restored
}

// write writes what the entry lacks of the changes. It returns false if the entry has to be read again.
func (r *leftRecord) write(ctx context.Context) (bool, error) {
	wanted, changes, restored := r.takeChanges()
	if restored {
		r.entryKnown = false
		return false, nil
	}
	value, err := encodeRecord(mergeStarts(decodeRecord(r.entry.Value), wanted))
	if err != nil {
		return false, err
	}
	if len(wanted) > 0 && !bytes.Equal(value, r.entry.Value) {
		r.entryKnown = false // its index is not known after the write
		written, err := r.store.CompareAndSwap(ctx, r.key, value, r.entry.Index)
		if !written || err != nil {
			return false, err
		}
	}
	r.setStored(changes)
	return true, nil
}

// mergeStarts returns the latest starts of both lists, later ones at the end.
func mergeStarts(earlier, later []instance.Start) []instance.Start {
	merged := slices.DeleteFunc(slices.Clone(earlier), func(known instance.Start) bool { return slices.Contains(later, known) })
	merged = append(merged, later...)
	return merged[max(len(merged)-instance.MaximumLeft, 0):]
}

func encodeRecord(starts []instance.Start) ([]byte, error) {
	record := wire.LeftBackEnds{}
	for _, start := range starts {
		record.Starts = append(record.Starts, membership.BackEndStart(start))
	}
	return json.Marshal(record)
}

// decodeRecord returns the starts in the value of an entry. One that can't be read is of another writer, and
// is replaced by the next write.
func decodeRecord(value []byte) []instance.Start {
	var record wire.LeftBackEnds
	if json.Unmarshal(value, &record) != nil {
		return nil
	}
	starts := []instance.Start{}
	for _, start := range record.Starts {
		if start.ID != "" && start.Born >= 0 {
			starts = append(starts, instance.Start(start))
		}
	}
	return starts
}
