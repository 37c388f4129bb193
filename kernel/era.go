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
	before, raised := p.storeEra.raise(uint64(era))
	if !raised || before == 0 {
		return
	}
	p.Log.Emit(event.StoreRestored, "era", uint64(era), "before", before)
	for _, run := range p.storeEra.restored {
		run()
	}
}

// raise raises the highest era to the given one. It returns the era before, and whether it was lower.
func (e *storeEra) raise(era uint64) (before uint64, raised bool) {
	for {
		before = e.highest.Load()
		if era <= before {
			return before, false
		}
		if e.highest.CompareAndSwap(before, era) {
			return before, true
		}
	}
}
