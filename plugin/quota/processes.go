package quota

import (
	"time"

	"github.com/loomcleat/loomcleat/membership"
)

const (
	// processesAtStart is the number of processes that are assumed to share a quota while
	// this one has just started and may not know all others. Unlike plugin retry, which
	// assumes a least number at all times, a process that knows its mesh counts.
	processesAtStart = 16
	// joinTime is how long that is: as long as membership looks for a mesh.
	joinTime = 5 * time.Second
)

// processCounter counts the processes that may use a share of a quota: those that live, and
// those that were alive a moment ago and may be cut off rather than gone. A process that is
// started again at the address of another one takes its place.
type processCounter struct {
	forgetAfter time.Duration        // 0: members are forgotten by the mesh only
	lastAlive   map[string]time.Time // by control address
}

func newProcessCounter(forgetAfter time.Duration) processCounter {
	return processCounter{forgetAfter: forgetAfter, lastAlive: map[string]time.Time{}}
}

func (c *processCounter) count(now time.Time, members []membership.Member) int {
	known := make(map[string]bool, len(members))
	for _, member := range members {
		known[member.Control] = true
		if member.Status != membership.Dead {
			c.lastAlive[member.Control] = now
		}
	}
	for address, last := range c.lastAlive {
		if !known[address] || (c.forgetAfter > 0 && now.Sub(last) > c.forgetAfter) {
			delete(c.lastAlive, address)
		}
	}
	return len(c.lastAlive)
}

// countProcesses takes a new state of the mesh. It runs on the control loop.
func (l *limiter) countProcesses(now time.Time, members []membership.Member) {
	processes := l.counter.count(now, members)
	if time.Since(l.process.Started) < joinTime {
		processes = max(processes, processesAtStart)
	}
	l.setProcesses(processes)
}

func (l *limiter) setProcesses(processes int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.ledger.SetProcesses(processes)
	l.totals.SetProcesses(processes)
}
