// Package consul is a stand-in for the platform's key-value service and machine
// list. It speaks the part of Consul's HTTP API that package consulkv uses and
// can be told to fail in the ways that the platform is known to fail.
package consul

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"
)

// Server is the stand-in. It keeps everything in memory.
type Server struct {
	mutex    sync.Mutex
	index    uint64
	pairs    map[string]*pair
	sessions map[string]*session
	changed  chan struct{} // closed and replaced at each change
	machines machineList
	faults   faultState
	requests uint64
}

type pair struct {
	value    []byte
	index    uint64
	session  string
	previous []byte // the value before the last write, for stale reads
	before   uint64 // its index
}

type session struct {
	ttl     time.Duration
	expires time.Time
}

// kvRow is a row of the answer to GET /v1/kv.
type kvRow struct {
	Key         string
	Value       []byte
	CreateIndex uint64
	ModifyIndex uint64
	LockIndex   uint64
	Flags       uint64
	Session     string `json:",omitempty"`
}

// NewServer returns an empty stand-in.
func NewServer() *Server {
	return &Server{
		index:    1,
		pairs:    map[string]*pair{},
		sessions: map[string]*session{},
		changed:  make(chan struct{}),
	}
}

// Handler returns the HTTP handler of the stand-in.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv/{key...}", s.faulty(s.getPair))
	mux.HandleFunc("PUT /v1/kv/{key...}", s.faulty(s.putPair))
	mux.HandleFunc("PUT /v1/session/create", s.faulty(s.createSession))
	mux.HandleFunc("PUT /v1/session/renew/{id}", s.faulty(s.renewSession))
	mux.HandleFunc("PUT /v1/session/destroy/{id}", s.faulty(s.destroySession))
	mux.HandleFunc("GET /v1/catalog/service/{name}", s.faulty(s.listMachines))
	mux.HandleFunc("PUT /v1/catalog/register", s.registerMachine)
	mux.HandleFunc("PUT /v1/catalog/deregister", s.deregisterMachine)
	mux.HandleFunc("PUT /faults", s.putFaults)
	mux.HandleFunc("GET /faults", s.getFaults)
	return mux
}

// Requests returns the number of requests served, without fault control.
func (s *Server) Requests() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.requests
}

// touch raises the index and wakes blocking queries. The mutex is held.
func (s *Server) touch() uint64 {
	s.index++
	close(s.changed)
	s.changed = make(chan struct{})
	return s.index
}

func (s *Server) getPair(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	after, _ := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		wait = 5 * time.Minute
	}
	if after > 0 {
		s.waitForChange(r, key, after, wait)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expireSessions(time.Now())
	found, exists := s.pairs[key]
	if !exists {
		w.Header().Set("X-Consul-Index", strconv.FormatUint(s.index, 10))
		w.WriteHeader(http.StatusNotFound)
		return
	}
	value, index := found.value, found.index
	if s.faults.takeStale() && found.before > 0 {
		value, index = found.previous, found.before
	}
	w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
	writeJSON(w, []kvRow{{Key: key, Value: value, CreateIndex: index, ModifyIndex: index, Session: found.session}})
}

// waitForChange returns when the key's index is above after or wait has passed.
func (s *Server) waitForChange(r *http.Request, key string, after uint64, wait time.Duration) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		s.mutex.Lock()
		found, exists := s.pairs[key]
		moved := (exists && found.index > after) || (!exists && s.index > after)
		changed := s.changed
		s.mutex.Unlock()
		if moved {
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) putPair(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	query := r.URL.Query()
	s.mutex.Lock()
	s.expireSessions(time.Now())
	written := s.put(r.PathValue("key"), value, query.Get("cas"), query.Has("cas"), query.Get("acquire"))
	s.mutex.Unlock()
	_, _ = io.WriteString(w, strconv.FormatBool(written))
}

func (s *Server) put(key string, value []byte, cas string, hasCAS bool, acquire string) bool {
	found, exists := s.pairs[key]
	if hasCAS {
		want, err := strconv.ParseUint(cas, 10, 64)
		if err != nil || (want == 0) == exists || (exists && want != found.index) {
			return false
		}
	}
	if acquire != "" {
		_, alive := s.sessions[acquire]
		if !alive || (exists && found.session != "" && found.session != acquire) {
			return false
		}
	}
	next := &pair{value: value, session: acquire}
	if exists {
		next.previous, next.before = found.value, found.index
		if acquire == "" {
			next.session = found.session
		}
	}
	next.index = s.touch()
	s.pairs[key] = next
	return true
}

type sessionRequest struct {
	TTL string
}

type sessionAnswer struct {
	ID string
}

func (s *Server) createSession(w http.ResponseWriter, r *http.Request) {
	var request sessionRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ttl, err := time.ParseDuration(request.TTL)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id := uuid.NewString()
	s.mutex.Lock()
	s.sessions[id] = &session{ttl: ttl, expires: time.Now().Add(ttl)}
	s.mutex.Unlock()
	writeJSON(w, sessionAnswer{ID: id})
}

func (s *Server) renewSession(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	s.mutex.Lock()
	s.expireSessions(time.Now())
	found, alive := s.sessions[id]
	if alive {
		found.expires = time.Now().Add(found.ttl)
	}
	s.mutex.Unlock()
	if !alive {
		http.NotFound(w, r)
		return
	}
	writeJSON(w, []sessionAnswer{{ID: id}})
}

func (s *Server) destroySession(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	s.endSession(r.PathValue("id"))
	s.mutex.Unlock()
	_, _ = io.WriteString(w, "true")
}

func (s *Server) expireSessions(now time.Time) {
	for id, candidate := range s.sessions {
		if now.After(candidate.expires) {
			s.endSession(id)
		}
	}
}

// endSession removes a session and the keys that it holds.
func (s *Server) endSession(id string) {
	delete(s.sessions, id)
	for key, candidate := range s.pairs {
		if candidate.session == id {
			delete(s.pairs, key)
			s.touch()
		}
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
