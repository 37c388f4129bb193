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
)

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
