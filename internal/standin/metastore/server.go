// Package metastore is a stand-in for the metadata store of the users' platform,
// written from its published protocol. It keeps everything in memory and can be
// told to fail in the ways that the pages name.
//
// It belongs to the tests: nothing of the product but package platform speaks
// its protocol.
package metastore

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Item is one key.
type Item struct {
	Key      string `json:"private_key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Gone     bool   `json:"gone,omitempty"`
}

// Faults says how the stand-in misbehaves. The zero value is a healthy one.
type Faults struct {
	Status     int           // answer every call with it, 0: none
	Silent     bool          // never answer
	Delay      time.Duration // before each answer
	LoseWrites int           // so many writes are done and not answered
	MuteWaits  bool          // waits hear of nothing, and are never answered
	Garbage    bool          // answers are not JSON
}

// Server is the stand-in.
type Server struct {
	mutex    sync.Mutex
	faults   Faults
	revision uint64
	oldest   uint64 // history begins after it
	items    map[string]Item
	events   []Item
	leases   map[int64]bool
	changed  chan struct{} // closed at the next change
	calls    map[string]int
}

// NewServer returns an empty store.
func NewServer() *Server {
	return &Server{items: map[string]Item{}, leases: map[int64]bool{}, changed: make(chan struct{}), calls: map[string]int{}}
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
}

// keyConfiguration is where the operator keeps the configuration.
const keyConfiguration = "op/config"

// PutConfiguration writes the configuration, as the operator does.
func (s *Server) PutConfiguration(data []byte) { s.Put(keyConfiguration, data) }

// Put writes a key as the operator does.
func (s *Server) Put(key string, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.put(Item{Key: key, Value: value})
	s.notify()
}

// ForgetHistory drops the history, so that waits from before it get 410.
func (s *Server) ForgetHistory() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.events, s.oldest = nil, s.revision
	s.notify()
}

// Calls returns the number of calls of a path.
func (s *Server) Calls(path string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls[path]
}

// put changes a key under a new revision. The mutex is held.
func (s *Server) put(item Item) {
	s.revision++
	item.Revision = s.revision
	item.Created = s.revision
	if before, exists := s.items[item.Key]; exists {
		item.Created = before.Created
	}
	s.items[item.Key] = item
	s.events = append(s.events, item)
}

// remove removes a key. The mutex is held.
func (s *Server) remove(key string) {
	if _, exists := s.items[key]; !exists {
		return
	}
	s.revision++
	delete(s.items, key)
	s.events = append(s.events, Item{Key: key, Revision: s.revision, Gone: true})
}

// notify wakes those who wait. The mutex is held.
func (s *Server) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Handler serves the protocol.
func (s *Server) Handler() http.Handler {
	routes := http.NewServeMux()
	routes.HandleFunc("GET /-/kv-key", s.serveKey)
	routes.HandleFunc("GET /-/kv-range", s.serveRange)
	routes.HandleFunc("GET /-/kv-watch", s.serveWatch)
	routes.HandleFunc("POST /-/kv-txn", s.serveTransaction)
	routes.HandleFunc("POST /-/kv-lease", s.serveLease)
	routes.HandleFunc("POST /-/kv-keep/{id}", s.serveKeep)
	routes.HandleFunc("DELETE /-/kv-lease-end/{id}", s.serveLeaseEnd)
	return s.withFaults(routes)
}

// withFaults puts the faults in front of the protocol.
func (s *Server) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// A server notices that a client has left only once the body is read.
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		s.mutex.Lock()
		faults := s.faults
		s.calls[r.URL.Path]++
		lose := r.Method != http.MethodGet && s.faults.LoseWrites > 0
		if lose {
			s.faults.LoseWrites--
		}
		s.mutex.Unlock()
		select {
		case <-time.After(faults.Delay):
		case <-r.Context().Done():
			return
		}
		switch {
		case faults.Silent:
			<-r.Context().Done()
		case faults.Status != 0:
			w.WriteHeader(faults.Status)
		case faults.Garbage:
			_, _ = w.Write([]byte("<html>"))
		case lose:
			next.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

func answer(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

type keyAnswer struct {
	Item
	At uint64 `json:"at"`
}

type positionAnswer struct {
	At uint64 `json:"at"`
}

func (s *Server) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	item, exists := s.items[r.URL.Query().Get("private_key")]
	if !exists {
		answer(w, http.StatusNotFound, positionAnswer{At: s.revision})
		return
	}
	answer(w, http.StatusOK, keyAnswer{Item: item, At: s.revision})
}

type rangeAnswer struct {
	Items []Item `json:"items"`
	More  bool   `json:"more"`
	At    uint64 `json:"at"`
}

// pageSize is small, so that tests see several pages.
const pageSize = 3

func (s *Server) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	prefix, after := r.URL.Query().Get("path_prefix"), r.URL.Query().Get("after")
	found := rangeAnswer{Items: []Item{}, At: s.revision}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found.Items = append(found.Items, item)
		}
	}
	sort.Slice(found.Items, func(i, j int) bool { return found.Items[i].Key < found.Items[j].Key })
	if len(found.Items) > pageSize {
		found.Items, found.More = found.Items[:pageSize], true
	}
	answer(w, http.StatusOK, found)
}

type watchAnswer struct {
	Events []Item `json:"events"`
	At     uint64 `json:"at"`
}

func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mutex.Lock()
		events, gone, at, changed := s.since(after, query.Get("path_prefix"))
		mute := s.faults.MuteWaits
		s.mutex.Unlock()
		switch {
		case mute:
			<-r.Context().Done()
			return
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0:
			answer(w, http.StatusOK, watchAnswer{Events: events, At: at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			answer(w, http.StatusOK, watchAnswer{Events: []Item{}, At: at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the events after a revision. The mutex is held.
func (s *Server) since(after uint64, prefix string) (events []Item, gone bool, at uint64, changed chan struct{}) {
	for _, event := range s.events {
		if event.Revision > after && strings.HasPrefix(event.Key, prefix) {
			events = append(events, event)
		}
	}
	return events, after < s.oldest, s.revision, s.changed
}

type transaction struct {
	Expected []Item   `json:"expected_revision"`
	Put      []Item   `json:"put"`
	Remove   []string `json:"remove"`
}

type conflictAnswer struct {
	Items []Item `json:"items"`
}

type revisionAnswer struct {
	Revision uint64 `json:"revision"`
}

func (s *Server) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var body transaction
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, expected := range body.Expected {
		if s.items[expected.Key].Revision != expected.Revision {
			answer(w, http.StatusPreconditionFailed, conflictAnswer{Items: []Item{s.items[expected.Key]}})
			return
		}
	}
	for _, item := range body.Put {
		if item.Lease != 0 && !s.leases[item.Lease] {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, item := range body.Put {
		s.put(item)
	}
	for _, key := range body.Remove {
		s.remove(key)
	}
	s.notify()
	answer(w, http.StatusOK, revisionAnswer{Revision: s.revision})
}

type leaseAnswer struct {
	Lease int64  `json:"lease"`
	TTL   string `json:"ttl_time"`
}

func (s *Server) serveLease(w http.ResponseWriter, r *http.Request) {
	var asked leaseAnswer
	if err := json.NewDecoder(r.Body).Decode(&asked); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	asked.Lease = int64(len(s.leases) + 1)
	s.leases[asked.Lease] = true
	answer(w, http.StatusOK, asked)
}

func (s *Server) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.leases[id] {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, leaseAnswer{Lease: id})
}

func (s *Server) serveLeaseEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.leases[id] = false
	for key, item := range s.items {
		if item.Lease == id {
			s.remove(key)
		}
	}
	s.notify()
	w.WriteHeader(http.StatusOK)
}
