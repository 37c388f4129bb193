package exchange

import (
	"sync"
	"time"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/transport/socket"
)

// pool holds idle connections.
type pool struct {
	maximumIdle int           // per address
	timeout     time.Duration // 0: none

	mutex          sync.Mutex
	byAddress      map[string][]*conn // most recently used last
	sweepScheduled bool
}

// take removes and returns the most recently used connection to an address, or nil
// if none is usable. It closes expired and broken connections.
func (p *pool) take(address string) *conn {
	for {
		kept := p.pop(address)
		if kept == nil {
			return nil
		}
		if kept.expires.Left() > 0 && socket.Quiet(kept.Conn) {
			return kept
		}
		_ = kept.Close()
	}
}

func (p *pool) pop(address string) *conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	kept := p.byAddress[address]
	if len(kept) == 0 {
		return nil
	}
	last := kept[len(kept)-1]
	p.byAddress[address] = kept[:len(kept)-1]
	return last
}

// unlimitedLifetime is the lifetime of idle connections without a timeout.
const unlimitedLifetime = 365 * 24 * time.Hour

// put returns a connection to the pool after an exchange. keepAlive is the time
// for which the server allows its reuse, 0 if unknown. The connection is closed if
// the pool is full.
func (p *pool) put(used *conn, keepAlive time.Duration) {
	lifetime := p.timeout
	if lifetime == 0 {
		lifetime = unlimitedLifetime
	}
	if keepAlive > 0 {
		lifetime = min(lifetime, keepAlive)
	}
	used.expires = clock.Now().Add(lifetime)
	p.mutex.Lock()
	full := len(p.byAddress[used.address]) >= p.maximumIdle
	if !full {
		p.byAddress[used.address] = append(p.byAddress[used.address], used)
		p.scheduleSweep()
	}
	p.mutex.Unlock()
	if full {
		_ = used.Close()
	}
}

// sweepsPerTimeout is the number of sweeps for expired connections per idle timeout.
const sweepsPerTimeout = 4

// scheduleSweep schedules a sweep unless one is scheduled. The caller holds the mutex.
func (p *pool) scheduleSweep() {
	if p.sweepScheduled || p.timeout == 0 {
		return
	}
	p.sweepScheduled = true
	time.AfterFunc(p.timeout/sweepsPerTimeout, p.sweep)
}

// sweep closes expired connections.
func (p *pool) sweep() {
	now := clock.Now()
	expired := []*conn{}
	p.mutex.Lock()
	p.sweepScheduled = false
	for address, kept := range p.byAddress {
		alive := kept[:0]
		for _, idle := range kept {
			if now < idle.expires {
				alive = append(alive, idle)
			} else {
				expired = append(expired, idle)
			}
		}
		clear(kept[len(alive):])
		p.byAddress[address] = alive
		if len(alive) == 0 {
			delete(p.byAddress, address)
		}
	}
	if len(p.byAddress) > 0 {
		p.scheduleSweep()
	}
	p.mutex.Unlock()
	for _, idle := range expired {
		_ = idle.Close()
	}
}

// close closes all idle connections.
func (p *pool) close() {
	p.mutex.Lock()
	all := p.byAddress
	p.byAddress = map[string][]*conn{}
	p.mutex.Unlock()
	for _, kept := range all {
		for _, idle := range kept {
			_ = idle.Close()
		}
	}
}
