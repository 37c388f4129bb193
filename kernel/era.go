package kernel

import (
	"sync/atomic"

	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/store"
)

// storeEra is the highest era of the store that this process or a peer has seen.
type storeEra struct {
	highest  atomic.Uint64
	restored []func()
}

// OnStoreRestored adds a function that is called when the store was restored from an older copy. It
// must not block.
func (p *Process) OnStoreRestored(run func()) { p.storeEra.restored = append(p.storeEra.restored, run) }

// StoreEra returns the highest era of the store that this process or a peer has seen, 0 for none.
func (p *Process) StoreEra() store.Era { return store.Era(p.storeEra.highest.Load()) }

// ObserveStoreEra handles an era that the store or a peer has shown. The first one that this process
// sees is no sign of a restore.
func (p *Process) ObserveStoreEra(era store.Era) {
	for {
		known := p.storeEra.highest.Load()
		if uint64(era) <= known {
			return
		}
		if !p.storeEra.highest.CompareAndSwap(known, uint64(era)) {
			continue
		}
		if known > 0 {
			p.Log.Emit(event.StoreRestored, "era", uint64(era), "before", known)
			for _, run := range p.storeEra.restored {
				run()
			}
		}
		return
	}
}
