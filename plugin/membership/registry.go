package membership

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/store"
)

// Entering the registry.
const (
	firstRegisterWait   = 200 * time.Millisecond
	maximumRegisterWait = 5 * time.Second
	deregisterTimeout   = time.Second
)

// register enters this process in the registry, so that others find it. It tries
// until that has worked; the mesh does not wait for it.
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

// deregister removes the entry of a process that stops in order.
func (m *mesh) deregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, deregisterTimeout)
	defer cancel()
	if err := m.process.Registry.Deregister(ctx, m.process.ControlAddress()); err != nil {
		m.process.Log.Emit(event.RegistryUnreachable, "error", err)
	}
}
