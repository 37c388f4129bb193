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
	// reportTimeout bounds one report. A process that does not answer learns of the crash
	// by gossip.
	reportTimeout = 500 * time.Millisecond
	// reportsAtOnce is the number of reports that are on their way at a time.
	reportsAtOnce = 16
	// pullTimeout bounds the transfer of all that a peer knows.
	pullTimeout = time.Second
	// pullAgain is the time for which no peer is asked again about the same digest: one that
	// knows less than this process shows another digest until it has caught up.
	pullAgain = 2 * time.Second
	// maximumPulled bounds the digests that are remembered.
	maximumPulled = 64
)

// broadcast reports crashes to all processes, those of the own service first: their back
// ends are the next to run the request.
func (p *plugin) broadcast(crashes []quarantine.Crash) {
	message := wire.Crashes{From: p.process.ID, Crashes: crashes}
	limit := make(chan struct{}, reportsAtOnce)
	pending := sync.WaitGroup{}
	for _, member := range p.peers() {
		limit <- struct{}{}
		pending.Go(func() {
			defer func() { <-limit }()
			ctx, cancel := context.WithTimeout(p.process.Context(), reportTimeout)
			defer cancel()
			// The error is dropped: a process that is not reached learns of the crash by
			// gossip, and plugin membership logs which members do not answer.
			_ = p.process.Control.Invoke(ctx, member.Control, http.MethodPost, wire.PathQuarantine, &message, &wire.Empty{})
		})
	}
	pending.Wait()
}

// peers returns the other processes, those of the own service first.
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

// receiveCrashes takes the reports of another process.
func (p *plugin) receiveCrashes(w http.ResponseWriter, r *http.Request) {
	var message wire.Crashes
	if !kernel.ReadJSON(w, r, &message) {
		return
	}
	p.learn(clock.Now().Time(), message.Crashes, message.From)
	kernel.WriteJSON(w, wire.Empty{})
}

// serveCrashes answers another process with all that is known here.
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

// Heard implements kernel.Quarantine: it fetches what the peer may know beyond what is
// known here. That is how processes that were cut off or have just started learn.
func (p *plugin) Heard(peer string, digest uint64) {
	if digest == 0 || digest == p.Digest() || !p.pulling.CompareAndSwap(false, true) {
		return
	}
	if !p.worthPulling(clock.Now().Time(), digest) {
		p.pulling.Store(false)
		return
	}
	go p.pull(peer)
}

// worthPulling reports whether no peer was asked about a digest a moment ago.
func (p *plugin) worthPulling(now time.Time, digest uint64) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if at, known := p.pulled[digest]; known && now.Sub(at) < pullAgain {
		return false
	}
	if len(p.pulled) >= maximumPulled || p.pulled == nil {
		p.pulled = map[uint64]time.Time{}
	}
	p.pulled[digest] = now
	return true
}

// pull fetches all that a peer knows.
func (p *plugin) pull(peer string) {
	defer p.pulling.Store(false)
	ctx, cancel := context.WithTimeout(p.process.Context(), pullTimeout)
	defer cancel()
	var answer wire.Crashes
	if err := p.process.Control.Invoke(ctx, peer, http.MethodGet, wire.PathQuarantine, nil, &answer); err != nil {
		return // the next message of any peer with another digest tries again
	}
	p.learn(clock.Now().Time(), answer.Crashes, answer.From)
}
