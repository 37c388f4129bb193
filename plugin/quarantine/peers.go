package quarantine

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/loomcleat/loomcleat/clock"
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
	// minimumPullInterval is the minimum time between two pulls for the same digest. A peer that knows
	// fewer crashes than this process keeps sending another digest until it has caught up.
	minimumPullInterval = 2 * time.Second
	// maximumPulledDigests bounds the number of recorded digests.
	maximumPulledDigests = 64
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
	if digest == 0 || digest == p.Digest() || !p.pulling.CompareAndSwap(false, true) {
		return
	}
	if !p.mayPull(clock.Now().Time(), digest) {
		p.pulling.Store(false)
		return
	}
	go p.pull(peer)
}

// mayPull reports whether the last pull for a digest was at least minimumPullInterval ago, and
// records a new one if so.
func (p *plugin) mayPull(now time.Time, digest uint64) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if at, known := p.pulledAt[digest]; known && now.Sub(at) < minimumPullInterval {
		return false
	}
	if len(p.pulledAt) >= maximumPulledDigests || p.pulledAt == nil {
		p.pulledAt = map[uint64]time.Time{}
	}
	p.pulledAt[digest] = now
	return true
}

// pull fetches all crashes that a peer knows.
func (p *plugin) pull(peer string) {
	defer p.pulling.Store(false)
	ctx, cancel := context.WithTimeout(p.process.Context(), pullTimeout)
	defer cancel()
	var answer wire.Crashes
	if err := p.process.Control.Invoke(ctx, peer, http.MethodGet, wire.PathQuarantine, nil, &answer); err != nil {
		return // The next message with a different digest, from any peer, causes another pull.
	}
	p.mergeReports(clock.Now().Time(), answer.Crashes, answer.From)
}
