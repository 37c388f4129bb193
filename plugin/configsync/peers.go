package configsync

import (
	"context"
	"net/http"
	"time"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/wire"
)

// pullTimeout bounds the transfer of one document from a peer.
const pullTimeout = 2 * time.Second

// ObservePeerRevisions implements kernel.Documents. It fetches the documents of which the peer
// has a newer revision.
func (s *synchronizer) ObservePeerRevisions(peer string, revisions wire.Revisions, requestedAt time.Time) {
	for _, d := range s.documents {
		s.logAnnouncement(peer, d, revisions.Of(d.name))
		if revisions.Of(d.name) > d.revision.Load() && d.pulling.CompareAndSwap(false, true) {
			go s.pull(peer, d)
		}
	}
	s.process.ObserveStoreEra(revisions.StoreEra)
	s.recordConfirmation(revisions)
	s.recordPeerProof(revisions, requestedAt)
	policyKnown := s.documents[wire.DocumentPolicy].revision.Load()
	if revisions.Confirmed && revisions.Policy <= policyKnown {
		s.confirmed.Store(true)
	}
}

// pull fetches one document from a peer.
func (s *synchronizer) pull(peer string, d *document) {
	defer d.pulling.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	var fetched wire.Document
	path := wire.PathDocument + string(d.name)
	startedAt := clock.Now()
	if err := s.process.Control.Invoke(ctx, peer, http.MethodGet, path, nil, &fetched); err != nil {
		s.logFetchFailed(peer, d, startedAt, err)
		return // The next message from any peer with a newer revision causes another pull.
	}
	if _, err := s.offer(ctx, d, fetched.Data, peer); err != nil {
		return
	}
	if fetched.Confirmed && d.name == wire.DocumentPolicy {
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
