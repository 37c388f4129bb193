package membership

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/store"
)

// Bounds of registry access.
const (
	firstRegisterWait   = 200 * time.Millisecond
	maximumRegisterWait = 5 * time.Second
	deregisterTimeout   = time.Second
	// registerSpread is the time over which processes register again after the registry has lost
	// their entries, so that they do not all call it at once.
	registerSpread = 5 * time.Second
)

// keepRegistered registers this process, and again when the registry was restored from a copy that
// may lack its entry, until ctx is done.
func (m *mesh) keepRegistered(ctx context.Context) {
	for ctx.Err() == nil {
		m.register(ctx)
		era := m.process.Registry.Era()
		m.process.ObserveStoreEra(era)
		m.awaitRestore(ctx, era)
		kernel.Pause(ctx, rand.N(registerSpread))
	}
}

// awaitRestore returns when the registry is known to be in a later era than the given one, or when ctx
// is done.
func (m *mesh) awaitRestore(ctx context.Context, era store.Era) {
	for m.process.StoreEra() <= era {
		select {
		case <-m.restored:
		case <-ctx.Done():
			return
		}
	}
}

// register adds this process to the registry, where others discover it. It retries with
// exponential backoff until it succeeds or ctx is done; the mesh does not wait for it.
func (m *mesh) register(ctx context.Context) {
	machine := store.Machine{
		ID:      m.process.ID,
		Control: m.process.ControlAddress(),
		Zone:    m.process.Settings.Zone,
		State:   store.MachineLive,
	}
	for wait := firstRegisterWait; ctx.Err() == nil; wait = min(2*wait, maximumRegisterWait) {
		err := m.process.Registry.Register(ctx, machine)
		if err == nil {
			m.process.Log.Emit(event.Registered, "id", machine.ID, "control", machine.Control)
			return
		}
		if ctx.Err() != nil {
			return
		}
		m.process.Log.Emit(event.RegistryUnreachable, "error", err, "again_in", wait.String())
		kernel.Pause(ctx, wait/2+rand.N(wait))
	}
}

// deregister removes this process from the registry during a graceful stop.
func (m *mesh) deregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, deregisterTimeout)
	defer cancel()
	if err := m.process.Registry.Deregister(ctx, m.process.ControlAddress()); err != nil {
		m.process.Log.Emit(event.RegistryUnreachable, "error", err)
	}
}
