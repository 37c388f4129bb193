package quarantine

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/membership"
	"github.com/loomcleat/loomcleat/quarantine"
	"github.com/loomcleat/loomcleat/wire"
)

// Bounds of messages between processes.
const (
	// reportTimeout bounds one report. A process that does not answer gets the crashes
	// through gossip.
	reportTimeout = 500 * time.Millisecond
	// maximumConcurrentReports is the maximum number of concurrent reports.
	maximumConcurrentReports = 16
	// pullTimeout bounds the transfer of all crashes that a peer knows.
	pullTimeout = time.Second
)

// broadcast reports crashes to all processes, those of the own service first, since their
// back ends are the next to run the request.
func (p *plugin) broadcast(crashes []quarantine.CrashReport) {
	message := wire.Crashes{From: p.process.ID, Crashes: crashes}
	limit := make(chan struct{}, maximumConcurrentReports)
	pending := sync.WaitGroup{}
	for _, member := range p.peers() {
		limit <- struct{}{}
		pending.Go(func() {
			defer func() { <-limit }()
			ctx, cancel := context.WithTimeout(p.process.Context(), reportTimeout)
			defer cancel()
			// The error is dropped: a process that can't be reached gets the crashes through
			// gossip, and plug-in membership logs which members don't answer.
			_ = p.process.Control.Invoke(ctx, member.Control, http.MethodPost, wire.PathQuarantine, &message, &wire.Empty{})
		})
	}
	pending.Wait()
}

// peers returns the other members that are not dead, those of the own service first.
func (p *plugin) peers() []membership.Member {
	own, others := []membership.Member{}, []membership.Member{}
	for _, member := range *p.process.Members.Load() {
		switch {
		case member.ID == p.process.ID || member.Status == membership.Dead:
		case member.Service == p.process.Settings.Service:
			own = append(own, member)
		default:
			others = append(others, member)
		}
	}
	return append(own, others...)
}

// receiveCrashes handles the reports of another process.
func (p *plugin) receiveCrashes(w http.ResponseWriter, r *http.Request) {
	var message wire.Crashes
	if !kernel.ReadJSON(w, r, &message) {
		return
	}
	p.mergeReports(clock.Now().Time(), message.Crashes, message.From)
	kernel.WriteJSON(w, wire.Empty{})
}

// serveCrashes returns all crashes that this process knows.
func (p *plugin) serveCrashes(w http.ResponseWriter, _ *http.Request) {
	p.mutex.Lock()
	answer := wire.Crashes{From: p.process.ID, Crashes: p.ledger.All(clock.Now().Time())}
	p.mutex.Unlock()
	kernel.WriteJSON(w, answer)
}

// Digest implements kernel.Quarantine.
func (p *plugin) Digest() uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.ledger.Digest(clock.Now().Time())
}

// ObservePeerDigest implements kernel.Quarantine. If the digest of the peer differs, it fetches the
// crashes that the peer knows, so that processes which were partitioned or have just started
// catch up.
func (p *plugin) ObservePeerDigest(peer string, digest uint64) {
	if digest == 0 || digest == p.Digest() {
		return
	}
	p.mutex.Lock()
	begins := p.pulls.Begin(clock.Now().Time(), peer, digest)
	p.mutex.Unlock()
	if begins {
		go p.pull(peer)
	}
}

// pull fetches all crashes that a peer knows. After a failure, the next message with a different
// digest, from any peer, causes another pull.
func (p *plugin) pull(peer string) {
	ctx, cancel := context.WithTimeout(p.process.Context(), pullTimeout)
	defer cancel()
	var answer wire.Crashes
	err := p.process.Control.Invoke(ctx, peer, http.MethodGet, wire.PathQuarantine, nil, &answer)
	now := clock.Now().Time()
	p.mutex.Lock()
	p.pulls.Ended(now, peer, err == nil)
	p.mutex.Unlock()
	if err != nil {
		p.process.Log.Emit(event.FetchFailed, "document", "crashes", "from", peer, "error", err)
		return
	}
	p.mergeReports(now, answer.Crashes, answer.From)
}
