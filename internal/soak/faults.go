package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/loomcleat/loomcleat/internal/standin/metastore"
)

// Lengths of the parts of a soak. Faults strike in spells, alone and together; in between,
// processes hear of each other again, and what takes time to be known must be known.
const (
	spellTime = 6 * time.Second
	calmTime  = 6 * time.Second
	// faultPause is the longest time between two faults of a spell.
	faultPause = 1500 * time.Millisecond
	// faultTime is the longest time that a fault lasts.
	faultTime = 2500 * time.Millisecond
)

// fault is one kind of fault. It lasts until run returns.
type fault struct {
	name string
	// unplanned says that what processes know of each other may be late until settleTime
	// after it.
	unplanned bool
	run       func(f *fleet, n *node, duration time.Duration)
}

// faults are all kinds, drawn with the same chance.
var faults = []fault{
	{"kill", true, killNode},
	{"freeze", true, freezeNode},
	{"suspend", true, suspendNode},
	{"stop", false, stopNode},
	{"kill-all", true, killAll},
	{"store-silent", true, storeFault(metastore.Faults{Silent: true})},
	{"store-refuses", true, storeFault(metastore.Faults{Status: 503})},
	{"store-slow", true, storeFault(metastore.Faults{Delay: 700 * time.Millisecond})},
	{"store-mute", true, storeFault(metastore.Faults{MuteWaits: true})},
	{"edit", false, func(f *fleet, _ *node, _ time.Duration) { f.edit() }},
	{"crash-backend", true, crashBackend},
	{"drain-backend", false, drainBackend},
}

func killNode(f *fleet, n *node, duration time.Duration) {
	n.kill()
	time.Sleep(duration / 2)
	f.restartNode(n)
}

func freezeNode(_ *fleet, n *node, duration time.Duration) {
	n.signal(syscall.SIGSTOP)
	time.Sleep(duration)
	n.signal(syscall.SIGCONT)
}

// suspendNode suspends a machine for longer than it takes: its clock says so.
func suspendNode(f *fleet, n *node, duration time.Duration) {
	if err := n.suspend(10 * duration); err != nil {
		f.config.Log("suspending %s: %v", n.name, err)
	}
}

func stopNode(f *fleet, n *node, _ time.Duration) {
	if !n.terminate() {
		f.checker.Violate(time.Now(), PlannedStop, "%s did not end in order within %s", n.name, 2*stopWithin)
	}
	f.restartNode(n)
}

// killAll kills the drawn node and all others that no other fault has.
func killAll(f *fleet, drawn *node, _ time.Duration) {
	taken := []*node{drawn}
	for _, n := range f.nodes {
		if n != drawn && n.lock() {
			defer n.unlock()
			taken = append(taken, n)
		}
	}
	for _, n := range taken {
		n.kill()
	}
	for _, n := range taken {
		f.restartNode(n)
	}
}

func storeFault(faults metastore.Faults) func(*fleet, *node, time.Duration) {
	return func(f *fleet, _ *node, duration time.Duration) {
		f.store.SetFaults(faults)
		time.Sleep(duration)
		f.store.SetFaults(metastore.Faults{})
	}
}

func crashBackend(_ *fleet, n *node, _ time.Duration) { n.backend.Crash(n.backend.Instance()) }

func drainBackend(f *fleet, n *node, _ time.Duration) {
	n.backend.Drain(2 * drainTime)
	f.restartBackend(n)
}

// runSpell lets faults strike for spellTime, drawn by random, and waits for the last of them.
// Faults overlap, but each node has one at a time.
func (f *fleet) runSpell(ctx context.Context, random *rand.Rand) {
	spell, cancel := context.WithTimeout(ctx, spellTime)
	defer cancel()
	going := sync.WaitGroup{}
	for spell.Err() == nil {
		drawn := faults[random.IntN(len(faults))]
		n := f.nodes[random.IntN(len(f.nodes))]
		duration := faultTime/5 + time.Duration(random.Int64N(int64(faultTime)))
		pause := time.Duration(random.Int64N(int64(faultPause)))
		if n.lock() {
			going.Go(func() {
				defer n.unlock()
				f.inject(drawn, n, duration)
			})
		}
		time.Sleep(pause)
	}
	going.Wait()
}

// inject lets one fault strike a node.
func (f *fleet) inject(drawn fault, n *node, duration time.Duration) {
	f.config.Log("%s at %s for %s", drawn.name, n.name, duration.Round(time.Millisecond))
	if drawn.unplanned {
		defer f.beginFault()()
	}
	drawn.run(f, n, duration)
}

// lock takes a node for a fault and reports false when another one has it.
func (n *node) lock() bool { return n.busy.CompareAndSwap(false, true) }

func (n *node) unlock() { n.busy.Store(false) }

// crasherName names the crashing request of a cycle.
func crasherName(cycle int) string { return fmt.Sprintf("crash-%d", cycle) }
