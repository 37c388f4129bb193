package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/loomcleat/loomcleat/internal/standin/keyvalue"
	"github.com/loomcleat/loomcleat/internal/standin/metastore"
	"github.com/loomcleat/loomcleat/result"
)

// Lengths of the phases of a soak and of their faults. In a fault phase, faults occur alone
// and together. The calm phase after it is long enough for gossip to converge again.
const (
	faultPhaseTime = 6 * time.Second
	calmPhaseTime  = 6 * time.Second
	// faultPause is the upper bound of the random pause between two faults.
	faultPause = 1500 * time.Millisecond
	// faultTime bounds the random length of a fault: 0.2 to 1.2 times this.
	faultTime = 2500 * time.Millisecond
)

// fault is a kind of fault.
type fault struct {
	name string
	// unplanned is set if the state that processes have of each other may be out of date until
	// settleTime after the fault.
	unplanned bool
	// run injects the fault and returns when it is over.
	run func(f *fleet, n *node, duration time.Duration)
}

// faults are all kinds of faults, drawn with equal probability.
var faults = []fault{
	{"kill", true, killNode},
	{"freeze", true, freezeNode},
	{"suspend", true, suspendNode},
	{"stop", false, stopNode},
	{"kill-all", true, killAll},
	{"store-silent", true, storeFault(metastore.Faults{Silent: true})},
	{"store-refuses", true, storeFault(metastore.Faults{Status: 503})},
	{"store-slow", true, storeFault(metastore.Faults{Delay: 700 * time.Millisecond})},
	{"store-mute", true, storeFault(metastore.Faults{BlockWatches: true})},
	{"edit", false, func(f *fleet, _ *node, _ time.Duration) { f.edit() }},
	{"crash-backend", true, crashBackend},
	{"drain-backend", false, drainBackend},
	{"deregister-backend", false, deregisterBackend},
	{"late-heartbeat", true, deregisterWithLateHeartbeat},
	{"forgotten-leaving", true, killAllAfterDeregistration},
	{"leave-by-answers", false, leaveByAnswers},
	{"backend-restarted", true, restartUnderID},
	{"rate-limit", false, limitBackend},
	{"surplus-refusals", true, sendSurplusRefusals},
	{"store-restored", true, restoreStore},
	{"foreign-entries", false, writeForeignEntries},
}

// FaultNames returns the names of all faults.
func FaultNames() []string {
	names := []string{}
	for _, known := range faults {
		names = append(names, known.name)
	}
	return names
}

// selectFaults returns the faults with the given names, all for none. It returns a
// result.UsageInvalid error for an unknown name.
func selectFaults(names []string) ([]fault, error) {
	if len(names) == 0 {
		return faults, nil
	}
	selected := []fault{}
	for _, name := range names {
		i := slices.IndexFunc(faults, func(known fault) bool { return known.name == name })
		if i < 0 {
			return nil, result.New(result.UsageInvalid, "unknown fault %q; known: %s", name, strings.Join(FaultNames(), ", "))
		}
		selected = append(selected, faults[i])
	}
	return selected, nil
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

// suspendNode imitates a suspension that is longer than the fault lasts.
func suspendNode(f *fleet, n *node, duration time.Duration) {
	if err := n.suspend(10 * duration); err != nil {
		f.config.Log("suspending %s: %v", n.name, err)
	}
}

func stopNode(f *fleet, n *node, _ time.Duration) {
	if !n.terminate() {
		f.checker.Violate(time.Now(), PlannedStop, "%s did not stop gracefully within %s", n.name, 2*stopTimeout)
	}
	f.restartNode(n)
}

// killAll kills the drawn node and all others without a fault in progress, and then restarts
// them.
func killAll(f *fleet, drawn *node, _ time.Duration) {
	locked := []*node{drawn}
	for _, n := range f.nodes {
		if n != drawn && n.lock() {
			defer n.unlock()
			locked = append(locked, n)
		}
	}
	for _, n := range locked {
		n.kill()
	}
	for _, n := range locked {
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

func crashBackend(_ *fleet, n *node, _ time.Duration) { n.backend.Crash(n.backend.Incarnation()) }

func drainBackend(f *fleet, n *node, _ time.Duration) {
	n.backend.Drain(2 * drainTime)
	f.restartBackend(n)
}

func deregisterBackend(f *fleet, n *node, _ time.Duration) {
	n.backend.Deregister(2 * drainTime)
	f.restartBackend(n)
}

// deregisterWithLateHeartbeat makes the back end deregister at a node that was just started, while
// heartbeats are on their way to it.
func deregisterWithLateHeartbeat(f *fleet, n *node, duration time.Duration) {
	n.backend.DelayHeartbeats(duration)
	time.Sleep(heartbeatInterval)
	n.kill()
	f.restartNode(n)
	time.Sleep(duration / 2)
	deregisterBackend(f, n, duration)
}

// killAllAfterDeregistration makes the back end deregister and kills all processes right after that, while
// heartbeats from before are on their way until the back end should get no requests any more.
func killAllAfterDeregistration(f *fleet, n *node, duration time.Duration) {
	n.backend.DelayHeartbeats(drainTime + duration/2)
	time.Sleep(heartbeatInterval)
	var killed sync.WaitGroup
	killed.Go(func() {
		time.Sleep(duration / 10)
		killAll(f, n, duration)
	})
	deregisterBackend(f, n, duration)
	killed.Wait()
}

// sendSurplusRefusals makes the back end refuse requests, and send each refusal once more, late.
func sendSurplusRefusals(_ *fleet, n *node, duration time.Duration) {
	n.backend.SetShedding(true)
	time.Sleep(duration)
	n.backend.SetShedding(false)
}

func leaveByAnswers(f *fleet, n *node, _ time.Duration) {
	n.backend.LeaveByAnswers(2 * drainTime)
	f.restartBackend(n)
}

// restartUnderID crashes the back end, which then starts again under the id that it had.
func restartUnderID(_ *fleet, n *node, _ time.Duration) {
	n.backend.KeepID()
	n.backend.Crash(n.backend.Incarnation())
}

// limitTime is how long a back end declares a rate limit.
const limitTime = limitDelay + limitWindow + time.Second

// limitBackend makes a back end declare a rate limit that falls or rises meanwhile. It returns at
// once, so that other faults strike the node while the limit is in force.
func limitBackend(_ *fleet, n *node, duration time.Duration) {
	limit := 1 + 4*duration.Seconds()
	incarnation := n.backend.Incarnation()
	set := func(limit float64) {
		if n.backend.Incarnation() == incarnation {
			n.backend.SetRateLimit(limit)
		}
	}
	set(limit)
	time.AfterFunc(limitTime/2, func() { set(limit / 2) })
	time.AfterFunc(limitTime, func() { set(2 * limit) })
	time.AfterFunc(limitTime+limitWindow, func() { set(0) })
}

// awayTime is how long the store is away before it comes back from a copy, and rewriteDelay the time
// until the operator has written the configuration again.
const (
	awayTime     = 300 * time.Millisecond
	rewriteDelay = 500 * time.Millisecond
)

// restoreStore loses what was written to the store during a time. The configuration is changed
// meanwhile, and written again after the restore.
func restoreStore(f *fleet, _ *node, duration time.Duration) {
	older := f.store.Copy()
	f.edit()
	time.Sleep(duration)
	f.store.SetFaults(metastore.Faults{Down: true})
	time.Sleep(awayTime)
	f.store.Restore(older, func(*keyvalue.Data) {})
	f.store.SetFaults(metastore.Faults{})
	time.Sleep(rewriteDelay)
	f.rewrite()
}

// foreignHeartbeats are messages of other writers in place of a heartbeat.
var foreignHeartbeats = []string{
	"", "{", "\xff\x00", "[]", `{"address":5}`,
	`{"address":"127.0.0.1:1","info":{"service":"front"},"status":{"state":"ready","seq":99999}}`,
	`{"address":"127.0.0.1:1","info":{"service":"front","version":"v1","zone":"z","slots":5},"status":{"state":"resting","seq":1,"cold_remaining":"0ms"}}`,
}

// writeForeignEntries sends messages of other writers to a node, and writes entries of other writers
// beside those of the processes.
func writeForeignEntries(f *fleet, n *node, _ time.Duration) {
	for _, key := range []string{"loomcleat/members/", "loomcleat/members/nowhere", "loomcleat/members/10"} {
		f.store.Put(key, []byte("\xff{"))
	}
	for _, body := range foreignHeartbeats {
		if status := n.backend.SendForeign(body); status == http.StatusOK {
			f.checker.Violate(time.Now(), OnlyOwnHeartbeats, "%s acknowledged the heartbeat %q", n.name, body)
		}
	}
}

// runFaults injects randomly drawn faults for faultPhaseTime and waits until the last one is over.
// Faults may overlap, but each node has at most one at a time.
func (f *fleet) runFaults(ctx context.Context, random *rand.Rand) {
	phase, cancel := context.WithTimeout(ctx, faultPhaseTime)
	defer cancel()
	running := sync.WaitGroup{}
	for phase.Err() == nil {
		drawn := f.faults[random.IntN(len(f.faults))]
		n := f.nodes[random.IntN(len(f.nodes))]
		duration := faultTime/5 + time.Duration(random.Int64N(int64(faultTime)))
		pause := time.Duration(random.Int64N(int64(faultPause)))
		if n.lock() {
			running.Go(func() {
				defer n.unlock()
				f.inject(drawn, n, duration)
			})
		}
		time.Sleep(pause)
	}
	running.Wait()
}

// inject runs one fault at a node.
func (f *fleet) inject(drawn fault, n *node, duration time.Duration) {
	f.config.Log("fault %s at %s for %s", drawn.name, n.name, duration.Round(time.Millisecond))
	if drawn.unplanned {
		defer f.beginFault()()
	}
	drawn.run(f, n, duration)
}

// lock reserves a node for a fault. It returns false if another fault is in progress there.
func (n *node) lock() bool { return n.busy.CompareAndSwap(false, true) }

func (n *node) unlock() { n.busy.Store(false) }

// crasherName returns the name of the crashing request of a cycle.
func crasherName(cycle int) string { return fmt.Sprintf("crash-%d", cycle) }
