// Package consul is a stub of a key-value store and a machine list with the part of
// Consul's HTTP API that package consulkv uses. It owns the machine list; package keyvalue
// provides keys, sessions (as leases) and faults.
package consul

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/loomcleat/loomcleat/internal/standin/keyvalue"
)

// Faults are the faults that the stub injects.
type Faults = keyvalue.Faults

// Server is the stub. All data is in memory.
type Server struct {
	*keyvalue.Store
	machines machineList
}

// NewServer returns an empty store.
func NewServer() *Server { return &Server{Store: keyvalue.New()} }

// Handler returns the handler of the API, which injects the active faults.
func (s *Server) Handler() http.Handler {
	routes := http.NewServeMux()
	routes.HandleFunc("GET /v1/kv/{key...}", s.getPair)
	routes.HandleFunc("PUT /v1/kv/{key...}", s.putPair)
	routes.HandleFunc("PUT /v1/session/create", s.createSession)
	routes.HandleFunc("PUT /v1/session/renew/{id}", s.renewSession)
	routes.HandleFunc("PUT /v1/session/destroy/{id}", s.destroySession)
	routes.HandleFunc("GET /v1/catalog/service/{name}", s.listMachines)
	return s.WithFaults(routes)
}

const headerIndex = "X-Consul-Index"

// defaultWait is the time limit of a blocking query without a wait parameter.
const defaultWait = 5 * time.Minute

// kvRow is an entry in the response to GET /v1/kv.
type kvRow struct {
	Key         string
	Value       []byte
	CreateIndex uint64
	ModifyIndex uint64
	LockIndex   uint64
	Flags       uint64
	Session     string `json:",omitempty"`
}

func (s *Server) getPair(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	s.waitForChange(r, key)
	found, exists, revision := s.Read(key)
	if !exists {
		w.Header().Set(headerIndex, strconv.FormatUint(revision, 10))
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set(headerIndex, strconv.FormatUint(found.Revision, 10))
	row := kvRow{Key: key, Value: found.Value, CreateIndex: found.Created, ModifyIndex: found.Revision}
	if found.Lease != 0 {
		row.Session = sessionID(found.Lease)
	}
	keyvalue.WriteJSON(w, http.StatusOK, []kvRow{row})
}

// waitForChange blocks a query with an index parameter until the index of its key is above
// that index. For a key that does not exist the index of the store counts.
func (s *Server) waitForChange(r *http.Request, key string) {
	query := r.URL.Query()
	index, err := strconv.ParseUint(query.Get("index"), 10, 64)
	if err != nil || index == 0 {
		return // Not a blocking query.
	}
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil {
		wait = defaultWait
	}
	s.Wait(r, wait, func(data *keyvalue.Data) bool {
		if found, exists := data.Items[key]; exists {
			return found.Revision > index
		}
		return data.Revision > index
	})
}

func (s *Server) putPair(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	query := r.URL.Query()
	session := leaseOf(query.Get("acquire"))
	written := false
	s.Update(func(data *keyvalue.Data) {
		found, exists := data.Items[r.PathValue("key")]
		if query.Has("cas") && !matchesIndex(query.Get("cas"), found, exists) {
			return
		}
		if query.Get("acquire") == "" {
			session = found.Lease
		} else if !data.LeaseActive(session) || (found.Lease != 0 && found.Lease != session) {
			return
		}
		data.Put(keyvalue.Item{Key: r.PathValue("key"), Value: value, Lease: session})
		written = true
	})
	_, _ = io.WriteString(w, strconv.FormatBool(written))
}

// matchesIndex reports whether a key has the index of a check-and-set. Index 0 matches a key
// that does not exist.
func matchesIndex(index string, found keyvalue.Item, exists bool) bool {
	expected, err := strconv.ParseUint(index, 10, 64)
	return err == nil && (expected == 0) != exists && expected == found.Revision
}

// sessionID returns the session id of a lease.
func sessionID(lease int64) string { return strconv.FormatInt(lease, 10) }

// leaseOf returns the lease of a session id, 0 if the id is not a number.
func leaseOf(id string) int64 {
	lease, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return 0
	}
	return lease
}

type sessionRequest struct {
	TTL string
}

type sessionResponse struct {
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
	var lease int64
	s.Update(func(data *keyvalue.Data) { lease = data.Grant(ttl) })
	keyvalue.WriteJSON(w, http.StatusOK, sessionResponse{ID: sessionID(lease)})
}

func (s *Server) renewSession(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	renewed := false
	s.Update(func(data *keyvalue.Data) { renewed = data.Renew(leaseOf(id)) })
	if !renewed {
		http.NotFound(w, r)
		return
	}
	keyvalue.WriteJSON(w, http.StatusOK, []sessionResponse{{ID: id}})
}

func (s *Server) destroySession(w http.ResponseWriter, r *http.Request) {
	s.Update(func(data *keyvalue.Data) { data.Revoke(leaseOf(r.PathValue("id"))) })
	_, _ = io.WriteString(w, "true")
}
