package harness

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in of the platform's store. It keeps its whole history.
type Store struct {
	server *httptest.Server

	mutex    sync.Mutex
	changed  chan struct{}
	revision uint64
	items    map[string]item
	history  []item
}

type item struct {
	Key      string `json:"private_key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Gone     bool   `json:"gone,omitempty"`
}

type transaction struct {
	Expected []struct {
		Key      string `json:"private_key"`
		Revision uint64 `json:"revision"`
	} `json:"expected_revision"`
	Put []struct {
		Key   string `json:"private_key"`
		Value []byte `json:"value"`
	} `json:"put"`
	Remove []string `json:"remove"`
}

// NewStore starts a store on a free port.
func NewStore() *Store {
	s := &Store{changed: make(chan struct{}), items: map[string]item{}}
	routes := http.NewServeMux()
	routes.HandleFunc("GET "+Protocol.KeyPath, s.serveKey)
	routes.HandleFunc("GET "+Protocol.RangePath, s.serveRange)
	routes.HandleFunc("GET "+Protocol.WatchPath, s.serveWatch)
	routes.HandleFunc("POST "+Protocol.TxnPath, s.serveTransaction)
	s.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(Protocol.Era, "1")
		routes.ServeHTTP(w, r)
	}))
	return s
}

// Address returns host:port.
func (s *Store) Address() string { return strings.TrimPrefix(s.server.URL, "http://") }

// Close stops the store.
func (s *Store) Close() {
	s.server.CloseClientConnections()
	s.server.Close()
}

// Configure writes the operator's configuration.
func (s *Store) Configure(configuration any) error {
	data, err := json.Marshal(configuration)
	if err != nil {
		return err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.put(Protocol.ConfigKey, data)
	return nil
}

// put writes a key. The caller holds the mutex.
func (s *Store) put(key string, value []byte) {
	s.revision++
	written := item{Key: key, Value: value, Revision: s.revision, Created: s.items[key].Created}
	if written.Created == 0 {
		written.Created = s.revision
	}
	s.items[key] = written
	s.history = append(s.history, written)
	close(s.changed)
	s.changed = make(chan struct{})
}

// remove removes a key. The caller holds the mutex.
func (s *Store) remove(key string) {
	if _, exists := s.items[key]; !exists {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Gone: true})
	close(s.changed)
	s.changed = make(chan struct{})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found, exists := s.items[r.URL.Query().Get("private_key")]
	if !exists {
		writeJSON(w, http.StatusNotFound, map[string]any{"at": s.revision})
		return
	}
	writeJSON(w, http.StatusOK, struct {
		item
		At uint64 `json:"at"`
	}{found, s.revision})
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("path_prefix"), r.URL.Query().Get("after")
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found := []item{}
	for key, kept := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, kept)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	writeJSON(w, http.StatusOK, map[string]any{"items": found, "more": false, "at": s.revision})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64) // default 0: from the first change
	wait, _ := strconv.Atoi(query.Get("wait_ms"))             // default 0: at once
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		events, at, changed := s.since(query.Get("path_prefix"), after)
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, http.StatusOK, map[string]any{"events": []item{}, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) since(prefix string, after uint64) (events []item, at uint64, changed <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, event := range s.history {
		if event.Revision > after && strings.HasPrefix(event.Key, prefix) {
			events = append(events, event)
		}
	}
	return events, s.revision, s.changed
}

func (s *Store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var asked transaction
	if err := json.NewDecoder(r.Body).Decode(&asked); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current, failed := []item{}, false
	for _, expected := range asked.Expected {
		found, exists := s.items[expected.Key]
		if exists {
			current = append(current, found)
		}
		failed = failed || found.Revision != expected.Revision
	}
	if failed {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, written := range asked.Put {
		s.put(written.Key, written.Value)
	}
	for _, key := range asked.Remove {
		s.remove(key)
	}
	writeJSON(w, http.StatusOK, map[string]any{"revision": s.revision})
}
