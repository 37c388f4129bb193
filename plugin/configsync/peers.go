package configsync

import (
	"net/http"
	"time"

	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/wire"
)

// ObservePeerRevisions implements kernel.Documents. It fetches the documents of which the peer
// has a newer revision.
func (s *synchronizer) ObservePeerRevisions(peer string, revisions wire.Revisions, requestedAt time.Time) {
	for _, d := range s.documents {
		s.observeRevision(peer, d, revisions.Of(d.name))
	}
	s.process.ObserveStoreEra(revisions.StoreEra)
	s.recordReply(revisions, requestedAt)
	policyKnown := s.documents[wire.DocumentPolicy].revision.Load()
	if revisions.Confirmed && revisions.Policy <= policyKnown {
		s.confirmed.Store(true)
	}
}

// serveRevisions returns the revisions that are in force in this process.
func (s *synchronizer) serveRevisions(w http.ResponseWriter, _ *http.Request) {
	kernel.WriteJSON(w, s.Revisions())
}

// serveDocument returns a document that is in force in this process.
func (s *synchronizer) serveDocument(w http.ResponseWriter, r *http.Request) {
	d, exists := s.documents[wire.DocumentName(r.PathValue("name"))]
	if !exists {
		result.New(result.NotFound, "there is no document %q", r.PathValue("name")).WriteHTTP(w)
		return
	}
	confirmed := s.confirmed.Load()
	answer, err := kernel.Query(r.Context(), s.process.Loop, func(time.Time) wire.Document {
		return wire.Document{Revision: d.current.Revision(), Data: d.current.Data(), Confirmed: confirmed}
	})
	if err != nil {
		result.From(err).WriteHTTP(w)
		return
	}
	kernel.WriteJSON(w, answer)
}
