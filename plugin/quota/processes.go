package quota

import (
	"time"

	"github.com/loomcleat/loomcleat/membership"
)

const (
	// processesAtStart is the number of processes assumed to share a quota until joinTime after
	// the start, when this process may not know all others. Unlike minimumProcesses of plug-in
	// retry, it does not apply after that.
	processesAtStart = 16
	// joinTime is how long membership may take to join a mesh.
	joinTime = 5 * time.Second
)

// processCounter counts the processes that may use a share of a quota: those that are alive, and
// those that died recently, which may only be cut off. A process that starts at the control address
// of an earlier one replaces it.
type processCounter struct {
	// Time after which a dead process no longer counts, 0 for as long as membership remembers it.
	forgetAfter time.Duration
	// Time at which a process was last alive, by control address.
	lastAlive map[string]time.Time
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

// countProcesses updates the number of processes that share quotas. It runs on the control loop.
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
	l.limiter.SetProcesses(processes)
	l.totals.SetProcesses(processes)
}
