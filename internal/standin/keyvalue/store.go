// Package keyvalue is the common part of the key-value store stubs. It keeps keys with
// their revisions, leases and history in memory, and injects faults into the protocol that
// a stub serves. Packages consul and metastore implement the protocols. It
// uses no other package of this module.
package keyvalue

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Item is a key and its value, or a removal in the history.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64 // Revision of the store at the last write.
	Created  uint64 // Revision of the store when the key was created.
	Lease    int64  // The key is removed when this lease ends. 0: no lease.
	Removed  bool   // Set in history entries that record a removal.
}

// Data is the content of a Store. It may be used only inside Update and by the condition of Wait.
type Data struct {
	Revision uint64 // Incremented by each change.
	Oldest   uint64 // The history holds the changes after this revision.
	Items    map[string]Item

	previous  map[string]Item // State of each key before its last write.
	history   []Item
	leases    map[int64]lease
	lastLease int64 // Id of the last lease granted.

	// Era counts how often the data was restored from an older copy, from 1.
	Era uint64
}

// lease is a granted lease. Without a time to live it lasts until it is revoked. An expired
// lease is revoked by the next Update.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Store is a key-value store in memory. It is safe for concurrent use.
type Store struct {
	mutex   sync.Mutex
	data    Data
	changed chan struct{} // Closed and replaced at each change.
	faults  faultState
}

// New returns an empty store at revision 1.
func New() *Store {
	return &Store{
		data:    Data{Revision: 1, Items: map[string]Item{}, previous: map[string]Item{}, leases: map[int64]lease{}, Era: 1},
		changed: make(chan struct{}),
	}
}

// Update runs a function with exclusive access to the data and wakes the callers of Wait if
// the data has changed.
func (s *Store) Update(run func(data *Data)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	revision, oldest := s.data.Revision, s.data.Oldest
	s.data.expire(time.Now())
	run(&s.data)
	if s.data.Revision != revision || s.data.Oldest != oldest {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// Read returns a key and the revision of the store. While Faults.StaleReads is above 0 it
// returns the key as it was before its last write.
func (s *Store) Read(key string) (item Item, exists bool, revision uint64) {
	s.Update(func(data *Data) {
		item, exists = data.Items[key]
		if earlier, written := data.previous[key]; exists && s.faults.takeStaleRead() && written {
			item = earlier
		}
		revision = data.Revision
	})
	return item, exists, revision
}

// Wait blocks until a condition holds or the time limit is reached. It returns false when
// the caller has disconnected; while Faults.BlockWatches is set it blocks until then.
func (s *Store) Wait(r *http.Request, limit time.Duration, condition func(data *Data) bool) bool {
	timeout := time.NewTimer(limit)
	defer timeout.Stop()
	for {
		s.mutex.Lock()
		reached, changed, blocked := condition(&s.data), s.changed, s.faults.current.BlockWatches
		s.mutex.Unlock()
		if blocked {
			<-r.Context().Done()
			return false
		}
		if reached {
			return true
		}
		select {
		case <-changed:
		case <-timeout.C:
			return true
		case <-r.Context().Done():
			return false
		}
	}
}

// Put writes a key under a new revision.
func (d *Data) Put(item Item) {
	d.Revision++
	item.Revision, item.Created = d.Revision, d.Revision
	if earlier, exists := d.Items[item.Key]; exists {
		item.Created = earlier.Created
		d.previous[item.Key] = earlier
	}
	d.Items[item.Key] = item
	d.history = append(d.history, item)
}

// Remove removes a key under a new revision, if it exists.
func (d *Data) Remove(key string) {
	if _, exists := d.Items[key]; !exists {
		return
	}
	d.Revision++
	delete(d.Items, key)
	delete(d.previous, key)
	d.history = append(d.history, Item{Key: key, Revision: d.Revision, Removed: true})
}

// Since returns the changes of keys with a prefix after a revision, oldest first.
func (d *Data) Since(revision uint64, prefix string) []Item {
	events := []Item{}
	for _, event := range d.history {
		if event.Revision > revision && strings.HasPrefix(event.Key, prefix) {
			events = append(events, event)
		}
	}
	return events
}

// CompactHistory drops the history up to the current revision.
func (d *Data) CompactHistory() { d.history, d.Oldest = nil, d.Revision }

// Grant creates a lease. With a time to live of 0 it lasts until it is revoked.
func (d *Data) Grant(ttl time.Duration) (id int64) {
	d.lastLease++
	d.leases[d.lastLease] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return d.lastLease
}

// LeaseActive reports whether a lease is active.
func (d *Data) LeaseActive(id int64) bool {
	_, active := d.leases[id]
	return active
}

// Renew restarts the time to live of a lease. It returns false if the lease is not active.
func (d *Data) Renew(id int64) bool {
	found, active := d.leases[id]
	if active {
		found.expires = time.Now().Add(found.ttl)
		d.leases[id] = found
	}
	return active
}

// Revoke ends a lease and removes the keys attached to it.
func (d *Data) Revoke(id int64) {
	if !d.LeaseActive(id) {
		return
	}
	delete(d.leases, id)
	for key, item := range d.Items {
		if item.Lease == id {
			d.Remove(key)
		}
	}
}

// expire revokes the leases whose time to live has passed.
func (d *Data) expire(now time.Time) {
	for id, found := range d.leases {
		if found.ttl > 0 && now.After(found.expires) {
			d.Revoke(id)
		}
	}
}

// Copy returns a copy of the data, from which the store can be restored.
func (d *Data) Copy() Data {
	copied := *d
	copied.Items, copied.previous, copied.leases = maps.Clone(d.Items), maps.Clone(d.previous), maps.Clone(d.leases)
	copied.history = slices.Clone(d.history)
	return copied
}

// Restore replaces the data by an older copy. What was written since is lost, and its revisions are
// given out again.
func (d *Data) Restore(older Data) {
	era := d.Era
	*d = older.Copy()
	d.Era = era + 1
}
