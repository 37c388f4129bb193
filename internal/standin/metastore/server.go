// Package metastore is a stub of the metadata store of the users' platform, written from
// the published protocol. Package keyvalue provides keys, leases, history and faults.
//
// It is used by tests and by the soak. Package platform is the client of the protocol.
package metastore

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/loomcleat/loomcleat/internal/standin/keyvalue"
)

// Faults are the faults that the stub injects.
type Faults = keyvalue.Faults

// Server is the stub. All data is in memory.
type Server struct {
	*keyvalue.Store
}

// NewServer returns an empty store.
func NewServer() *Server { return &Server{keyvalue.New()} }

// keyConfiguration is the key of the operator's configuration.
const keyConfiguration = "op/config"

// PutConfiguration writes the configuration, as an operator would.
func (s *Server) PutConfiguration(data []byte) { s.Put(keyConfiguration, data) }

// Put writes a key without a lease, as an operator would.
func (s *Server) Put(key string, value []byte) {
	s.Update(func(data *keyvalue.Data) { data.Put(keyvalue.Item{Key: key, Value: value}) })
}

// CompactHistory drops the history, so that watches from an earlier revision get status 410.
func (s *Server) CompactHistory() { s.Update((*keyvalue.Data).CompactHistory) }

// Handler returns the handler of the protocol, which injects the active faults.
func (s *Server) Handler() http.Handler {
	routes := http.NewServeMux()
	routes.HandleFunc("GET /-/kv-key", s.serveKey)
	routes.HandleFunc("GET /-/kv-range", s.serveRange)
	routes.HandleFunc("GET /-/kv-watch", s.serveWatch)
	routes.HandleFunc("POST /-/kv-txn", s.serveTransaction)
	routes.HandleFunc("POST /-/kv-lease", s.serveLease)
	routes.HandleFunc("POST /-/kv-keep/{id}", s.serveRenewal)
	routes.HandleFunc("DELETE /-/kv-lease-end/{id}", s.serveRevocation)
	return s.WithFaults(s.withEra(routes))
}

// headerEra holds the number of times that the store was restored from an older copy, from 1.
const headerEra = "Store-Era"

// withEra sets headerEra on all answers.
func (s *Server) withEra(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.Update(func(data *keyvalue.Data) { w.Header().Set(headerEra, strconv.FormatUint(data.Era, 10)) })
		next.ServeHTTP(w, r)
	})
}

// Copy returns a copy of the data, for Restore.
func (s *Server) Copy() (copied keyvalue.Data) {
	s.Update(func(data *keyvalue.Data) { copied = data.Copy() })
	return copied
}

// Restore replaces the data by an older copy and then runs change, before anybody can read.
func (s *Server) Restore(older keyvalue.Data, change func(data *keyvalue.Data)) {
	s.Update(func(data *keyvalue.Data) {
		data.Restore(older)
		change(data)
	})
}

// item is a key in the protocol. Its fields match keyvalue.Item for conversion.
type item struct {
	Key      string `json:"private_key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Removed  bool   `json:"gone,omitempty"`
}

type keyResponse struct {
	item
	At uint64 `json:"at"`
}

type positionResponse struct {
	At uint64 `json:"at"`
}

func (s *Server) serveKey(w http.ResponseWriter, r *http.Request) {
	found, exists, revision := s.Read(r.URL.Query().Get("private_key"))
	if !exists {
		keyvalue.WriteJSON(w, http.StatusNotFound, positionResponse{At: revision})
		return
	}
	keyvalue.WriteJSON(w, http.StatusOK, keyResponse{item: item(found), At: revision})
}

type rangeResponse struct {
	Items []item `json:"items"`
	More  bool   `json:"more"`
	At    uint64 `json:"at"`
}

// pageSize is small so that tests get several pages.
const pageSize = 3

func (s *Server) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("path_prefix"), r.URL.Query().Get("after")
	page := rangeResponse{Items: []item{}}
	s.Update(func(data *keyvalue.Data) {
		page.At = data.Revision
		for key, found := range data.Items {
			if strings.HasPrefix(key, prefix) && key > after {
				page.Items = append(page.Items, item(found))
			}
		}
	})
	sort.Slice(page.Items, func(i, j int) bool { return page.Items[i].Key < page.Items[j].Key })
	if len(page.Items) > pageSize {
		page.Items, page.More = page.Items[:pageSize], true
	}
	keyvalue.WriteJSON(w, http.StatusOK, page)
}

type watchResponse struct {
	Events []item `json:"events"`
	At     uint64 `json:"at"`
}

func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix := query.Get("path_prefix")
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64) // Default 0: from the first change.
	wait, _ := strconv.Atoi(query.Get("wait_ms"))             // Default 0: respond immediately.
	response := watchResponse{Events: []item{}}
	compacted := false
	connected := s.Wait(r, time.Duration(wait)*time.Millisecond, func(data *keyvalue.Data) bool {
		response.At, compacted = data.Revision, after < data.Oldest
		for _, event := range data.Since(after, prefix) {
			response.Events = append(response.Events, item(event))
		}
		return compacted || len(response.Events) > 0
	})
	switch {
	case !connected:
	case compacted:
		w.WriteHeader(http.StatusGone)
	default:
		keyvalue.WriteJSON(w, http.StatusOK, response)
	}
}

type transaction struct {
	Expected []item   `json:"expected_revision"`
	Put      []item   `json:"put"`
	Remove   []string `json:"remove"`
}

type conflictResponse struct {
	Items []item `json:"items"`
}

type revisionResponse struct {
	Revision uint64 `json:"revision"`
}

func (s *Server) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var body transaction
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.Update(func(data *keyvalue.Data) {
		for _, expected := range body.Expected {
			if found := data.Items[expected.Key]; found.Revision != expected.Revision {
				keyvalue.WriteJSON(w, http.StatusPreconditionFailed, conflictResponse{Items: []item{item(found)}})
				return
			}
		}
		for _, put := range body.Put {
			if put.Lease != 0 && !data.LeaseActive(put.Lease) {
				w.WriteHeader(http.StatusNotFound)
				return
			}
		}
		for _, put := range body.Put {
			data.Put(keyvalue.Item(put))
		}
		for _, key := range body.Remove {
			data.Remove(key)
		}
		keyvalue.WriteJSON(w, http.StatusOK, revisionResponse{Revision: data.Revision})
	})
}

type leaseResponse struct {
	Lease int64  `json:"lease"`
	TTL   string `json:"ttl_time"`
}

// serveLease grants a lease that never expires; the requested time to live is ignored.
func (s *Server) serveLease(w http.ResponseWriter, r *http.Request) {
	var body leaseResponse
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.Update(func(data *keyvalue.Data) { body.Lease = data.Grant(0) })
	keyvalue.WriteJSON(w, http.StatusOK, body)
}

func (s *Server) serveRenewal(w http.ResponseWriter, r *http.Request) {
	id := leaseOf(r)
	renewed := false
	s.Update(func(data *keyvalue.Data) { renewed = data.Renew(id) })
	if !renewed {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	keyvalue.WriteJSON(w, http.StatusOK, leaseResponse{Lease: id})
}

func (s *Server) serveRevocation(w http.ResponseWriter, r *http.Request) {
	s.Update(func(data *keyvalue.Data) { data.Revoke(leaseOf(r)) })
	w.WriteHeader(http.StatusOK)
}

// leaseOf returns the lease id in the path of a request, 0 if it is not a number.
func leaseOf(r *http.Request) int64 {
	id, err := strconv.ParseInt(r.PathValue("id"), 10, 64)
	if err != nil {
		return 0
	}
	return id
}
