// Package consul is a stand-in for a key-value service and a machine list that speak
// Consul's HTTP API, as far as package consulkv uses it. It owns the machine list; keys,
// sessions and faults are those of package keyvalue.
package consul

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/loomcleat/loomcleat/internal/standin/keyvalue"
)

// Faults says how the stand-in misbehaves.
type Faults = keyvalue.Faults

// Server is the stand-in. It keeps everything in memory.
type Server struct {
	*keyvalue.Store
	machines machineList
}

// NewServer returns an empty stand-in.
func NewServer() *Server { return &Server{Store: keyvalue.New()} }

// Handler serves the protocol.
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

// longestWait is the time of a blocking query that names none.
const longestWait = 5 * time.Minute

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

// waitForChange lets a blocking query wait until the index of its key, or that of the
// store while there is no such key, is above the one that it names.
func (s *Server) waitForChange(r *http.Request, key string) {
	query := r.URL.Query()
	index, err := strconv.ParseUint(query.Get("index"), 10, 64)
	if err != nil || index == 0 {
		return // no blocking query
	}
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil {
		wait = longestWait
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
	session := sessionOf(query.Get("acquire"))
	written := false
	s.Update(func(data *keyvalue.Data) {
		found, exists := data.Items[r.PathValue("key")]
		if query.Has("cas") && !matchesIndex(query.Get("cas"), found, exists) {
			return
		}
		if query.Get("acquire") == "" {
			session = found.Lease
		} else if !data.Holds(session) || (found.Lease != 0 && found.Lease != session) {
			return
		}
		data.Put(keyvalue.Item{Key: r.PathValue("key"), Value: value, Lease: session})
		written = true
	})
	_, _ = io.WriteString(w, strconv.FormatBool(written))
}

// matchesIndex reports whether a key has the index of a check-and-set; 0: no such key.
func matchesIndex(index string, found keyvalue.Item, exists bool) bool {
	wanted, err := strconv.ParseUint(index, 10, 64)
	return err == nil && (wanted == 0) != exists && wanted == found.Revision
}

// sessionID returns the id of a session in the protocol.
func sessionID(lease int64) string { return strconv.FormatInt(lease, 10) }

// sessionOf returns the lease of a session, 0 for an id that was never given.
func sessionOf(id string) int64 {
	lease, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return 0
	}
	return lease
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
	var lease int64
	s.Update(func(data *keyvalue.Data) { lease = data.Grant(ttl) })
	keyvalue.WriteJSON(w, http.StatusOK, sessionAnswer{ID: sessionID(lease)})
}

func (s *Server) renewSession(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	renewed := false
	s.Update(func(data *keyvalue.Data) { renewed = data.Renew(sessionOf(id)) })
	if !renewed {
		http.NotFound(w, r)
		return
	}
	keyvalue.WriteJSON(w, http.StatusOK, []sessionAnswer{{ID: id}})
}

func (s *Server) destroySession(w http.ResponseWriter, r *http.Request) {
	s.Update(func(data *keyvalue.Data) { data.Revoke(sessionOf(r.PathValue("id"))) })
	_, _ = io.WriteString(w, "true")
}
