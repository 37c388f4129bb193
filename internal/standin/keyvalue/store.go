// Package keyvalue is the common part of the stand-ins for key-value stores. It owns the
// keys with their revisions, leases and history, in memory, and puts faults in front of
// the protocol that a stand-in serves. Packages consul and metastore are its two
// protocols. It relies on nothing of the product.
package keyvalue

import (
	"net/http"
	"strings"
	"sync"
	"time"
)

// Item is one key.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64 // of the store when it was written last
	Created  uint64 // the same when it was created
	Lease    int64  // the key goes with this lease, 0: none
	Gone     bool   // in the history: the key was removed
}

// Data is what a Store holds. It is used inside Update only.
type Data struct {
	Revision uint64 // raised by each change
	Oldest   uint64 // the history begins after it
	Items    map[string]Item

	before  map[string]Item // each key before its last write
	history []Item
	leases  map[int64]lease
	granted int64 // the last lease
}

// lease is the time to live of a lease and its end. Without a time to live it lasts until
// it is revoked.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Store is a key-value store in memory. It is safe for concurrent use.
type Store struct {
	mutex   sync.Mutex
	data    Data
	changed chan struct{} // closed and replaced at each change
	faults  faultState
}

// New returns an empty store at revision 1.
func New() *Store {
	return &Store{
		data:    Data{Revision: 1, Items: map[string]Item{}, before: map[string]Item{}, leases: map[int64]lease{}},
		changed: make(chan struct{}),
	}
}

// Update runs a function that alone reads and changes the data. It wakes those who wait
// when the data has changed.
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

// Read returns a key and the revision of the store. Under Faults.StaleReads it shows the
// key as it was before its last write.
func (s *Store) Read(key string) (item Item, exists bool, revision uint64) {
	s.Update(func(data *Data) {
		item, exists = data.Items[key]
		if earlier, written := data.before[key]; exists && s.faults.takeStaleRead() && written {
			item = earlier
		}
		revision = data.Revision
	})
	return item, exists, revision
}

// Wait blocks until a condition holds or the time is over. It reports false when the
// caller has left. Under Faults.MuteWaits it waits for that.
func (s *Store) Wait(r *http.Request, limit time.Duration, holds func(data *Data) bool) bool {
	timeout := time.NewTimer(limit)
	defer timeout.Stop()
	for {
		s.mutex.Lock()
		reached, changed, mute := holds(&s.data), s.changed, s.faults.current.MuteWaits
		s.mutex.Unlock()
		if mute {
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
		d.before[item.Key] = earlier
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
	delete(d.before, key)
	d.history = append(d.history, Item{Key: key, Revision: d.Revision, Gone: true})
}

// Since returns what was changed below a prefix after a revision, oldest first.
func (d *Data) Since(revision uint64, prefix string) []Item {
	events := []Item{}
	for _, event := range d.history {
		if event.Revision > revision && strings.HasPrefix(event.Key, prefix) {
			events = append(events, event)
		}
	}
	return events
}

// ForgetHistory drops the history.
func (d *Data) ForgetHistory() { d.history, d.Oldest = nil, d.Revision }

// Grant begins a lease. Without a time to live it lasts until it is revoked.
func (d *Data) Grant(ttl time.Duration) (id int64) {
	d.granted++
	d.leases[d.granted] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return d.granted
}

// Holds reports whether a lease is in force.
func (d *Data) Holds(id int64) bool {
	_, held := d.leases[id]
	return held
}

// Renew renews a lease and reports whether it was in force.
func (d *Data) Renew(id int64) bool {
	known, held := d.leases[id]
	if held {
		known.expires = time.Now().Add(known.ttl)
		d.leases[id] = known
	}
	return held
}

// Revoke ends a lease and removes the keys that go with it.
func (d *Data) Revoke(id int64) {
	if !d.Holds(id) {
		return
	}
	delete(d.leases, id)
	for key, item := range d.Items {
		if item.Lease == id {
			d.Remove(key)
		}
	}
}

// expire ends the leases whose time is over.
func (d *Data) expire(now time.Time) {
	for id, known := range d.leases {
		if known.ttl > 0 && now.After(known.expires) {
			d.Revoke(id)
		}
	}
}
