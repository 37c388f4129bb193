// Package metastore is a stand-in for the metadata store of the users' platform,
// written from its published protocol. Keys, leases, history and faults are those of
// package keyvalue.
//
// It belongs to the tests and to the soak: nothing of the product but package platform
// speaks its protocol.
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

// Faults says how the stand-in misbehaves.
type Faults = keyvalue.Faults

// Server is the stand-in. It keeps everything in memory.
type Server struct {
	*keyvalue.Store
}

// NewServer returns an empty store.
func NewServer() *Server { return &Server{keyvalue.New()} }

// keyConfiguration is where the operator keeps the configuration.
const keyConfiguration = "op/config"

// PutConfiguration writes the configuration, as the operator does.
func (s *Server) PutConfiguration(data []byte) { s.Put(keyConfiguration, data) }

// Put writes a key as the operator does.
func (s *Server) Put(key string, value []byte) {
	s.Update(func(data *keyvalue.Data) { data.Put(keyvalue.Item{Key: key, Value: value}) })
}

// ForgetHistory drops the history, so that waits from before it get 410.
func (s *Server) ForgetHistory() { s.Update((*keyvalue.Data).ForgetHistory) }

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
	return s.WithFaults(routes)
}

// item is a key in the protocol. Its fields are those of keyvalue.Item.
type item struct {
	Key      string `json:"private_key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Gone     bool   `json:"gone,omitempty"`
}

type keyAnswer struct {
	item
	At uint64 `json:"at"`
}

type positionAnswer struct {
	At uint64 `json:"at"`
}

func (s *Server) serveKey(w http.ResponseWriter, r *http.Request) {
	found, exists, revision := s.Read(r.URL.Query().Get("private_key"))
	if !exists {
		keyvalue.WriteJSON(w, http.StatusNotFound, positionAnswer{At: revision})
		return
	}
	keyvalue.WriteJSON(w, http.StatusOK, keyAnswer{item: item(found), At: revision})
}

type rangeAnswer struct {
	Items []item `json:"items"`
	More  bool   `json:"more"`
	At    uint64 `json:"at"`
}

// pageSize is small, so that tests see several pages.
const pageSize = 3

func (s *Server) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("path_prefix"), r.URL.Query().Get("after")
	page := rangeAnswer{Items: []item{}}
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

type watchAnswer struct {
	Events []item `json:"events"`
	At     uint64 `json:"at"`
}

func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix := query.Get("path_prefix")
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64) // 0: from the beginning
	wait, _ := strconv.Atoi(query.Get("wait_ms"))             // 0: at once
	news := watchAnswer{Events: []item{}}
	gone := false
	there := s.Wait(r, time.Duration(wait)*time.Millisecond, func(data *keyvalue.Data) bool {
		news.At, gone = data.Revision, after < data.Oldest
		for _, event := range data.Since(after, prefix) {
			news.Events = append(news.Events, item(event))
		}
		return gone || len(news.Events) > 0
	})
	switch {
	case !there:
	case gone:
		w.WriteHeader(http.StatusGone)
	default:
		keyvalue.WriteJSON(w, http.StatusOK, news)
	}
}

type transaction struct {
	Expected []item   `json:"expected_revision"`
	Put      []item   `json:"put"`
	Remove   []string `json:"remove"`
}

type conflictAnswer struct {
	Items []item `json:"items"`
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
	s.Update(func(data *keyvalue.Data) {
		for _, expected := range body.Expected {
			if found := data.Items[expected.Key]; found.Revision != expected.Revision {
				keyvalue.WriteJSON(w, http.StatusPreconditionFailed, conflictAnswer{Items: []item{item(found)}})
				return
			}
		}
		for _, put := range body.Put {
			if put.Lease != 0 && !data.Holds(put.Lease) {
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
		keyvalue.WriteJSON(w, http.StatusOK, revisionAnswer{Revision: data.Revision})
	})
}

type leaseAnswer struct {
	Lease int64  `json:"lease"`
	TTL   string `json:"ttl_time"`
}

// serveLease grants a lease that does not run out, whatever time was asked for.
func (s *Server) serveLease(w http.ResponseWriter, r *http.Request) {
	var asked leaseAnswer
	if err := json.NewDecoder(r.Body).Decode(&asked); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.Update(func(data *keyvalue.Data) { asked.Lease = data.Grant(0) })
	keyvalue.WriteJSON(w, http.StatusOK, asked)
}

func (s *Server) serveKeep(w http.ResponseWriter, r *http.Request) {
	id := leaseOf(r)
	renewed := false
	s.Update(func(data *keyvalue.Data) { renewed = data.Renew(id) })
	if !renewed {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	keyvalue.WriteJSON(w, http.StatusOK, leaseAnswer{Lease: id})
}

func (s *Server) serveLeaseEnd(w http.ResponseWriter, r *http.Request) {
	s.Update(func(data *keyvalue.Data) { data.Revoke(leaseOf(r)) })
	w.WriteHeader(http.StatusOK)
}

// leaseOf returns the lease that a path names, 0 for none.
func leaseOf(r *http.Request) int64 {
	id, err := strconv.ParseInt(r.PathValue("id"), 10, 64)
	if err != nil {
		return 0
	}
	return id
}
