package exchange

import (
	"sync"
	"time"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/transport/socket"
)

// pool keeps idle connections.
type pool struct {
	most    int           // for each address
	timeout time.Duration // 0: none

	mutex     sync.Mutex
	byAddress map[string][]*conn // the one that was used last stands last
	sweeping  bool
}

// take removes the connection to an address that was used last, nil when there is
// none that still works.
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

// forever stands for the end of connections that do not expire.
const forever = 365 * 24 * time.Hour

// put keeps a connection whose exchange has ended, for the time that the other
// side keeps it (0: it did not say).
func (p *pool) put(used *conn, keepAlive time.Duration) {
	lifetime := p.timeout
	if lifetime == 0 {
		lifetime = forever
	}
	if keepAlive > 0 {
		lifetime = min(lifetime, keepAlive)
	}
	used.expires = clock.Now().Add(lifetime)
	p.mutex.Lock()
	full := len(p.byAddress[used.address]) >= p.most
	if !full {
		p.byAddress[used.address] = append(p.byAddress[used.address], used)
		p.sweepLater()
	}
	p.mutex.Unlock()
	if full {
		_ = used.Close()
	}
}

// sweepShare is the part of the timeout after which expired connections are
// looked for.
const sweepShare = 4

// sweepLater has expired connections closed after a while. The mutex is held.
func (p *pool) sweepLater() {
	if p.sweeping || p.timeout == 0 {
		return
	}
	p.sweeping = true
	time.AfterFunc(p.timeout/sweepShare, p.sweep)
}

// sweep closes expired connections.
func (p *pool) sweep() {
	now := clock.Now()
	expired := []*conn{}
	p.mutex.Lock()
	p.sweeping = false
	for address, kept := range p.byAddress {
		alive := kept[:0]
		for _, one := range kept {
			if now < one.expires {
				alive = append(alive, one)
			} else {
				expired = append(expired, one)
			}
		}
		clear(kept[len(alive):])
		p.byAddress[address] = alive
		if len(alive) == 0 {
			delete(p.byAddress, address)
		}
	}
	if len(p.byAddress) > 0 {
		p.sweepLater()
	}
	p.mutex.Unlock()
	for _, one := range expired {
		_ = one.Close()
	}
}

// close closes all idle connections.
func (p *pool) close() {
	p.mutex.Lock()
	all := p.byAddress
	p.byAddress = map[string][]*conn{}
	p.mutex.Unlock()
	for _, kept := range all {
		for _, one := range kept {
			_ = one.Close()
		}
	}
}
