package spread

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// proofMesh is a simulated mesh in virtual time: a store whose document gets new revisions, a
// few processes that read it, and others that ask their peers. Messages are delayed or lost,
// and processes are suspended or have their incoming messages held back.
type proofMesh struct {
	random *rand.Rand
	now    time.Duration
	// Time at which each revision was written, beginning with revision 1.
	written   []time.Duration
	processes []*proofProcess
	events    []proofEvent
	injected  defect
}

// proofProcess is one process with its proof and its document.
type proofProcess struct {
	proof       Proof
	document    CurrentDocument
	frozenUntil time.Duration
	// Time until which incoming messages are held back.
	inboundHeldUntil time.Duration
}

// proofEvent is the arrival of a message at a process.
type proofEvent struct {
	at      time.Duration
	process *proofProcess
	arrive  func()
}

// defect is the safeguard that a simulation runs without.
type defect int

const (
	noDefect          defect = iota
	countsFromArrival        // a proof counts from the arrival of the answer
	trustsNewerPolicy        // a peer's proof of a newer revision counts for an older one
	trustsPushes             // unrequested messages of peers count as proofs
)

const (
	proofBound        = 5 * time.Second // time after which a replaced revision must not be trusted
	proofStep         = 20 * time.Millisecond
	proofDuration     = 40 * time.Second
	proofMaximumDelay = 4 * time.Second // maximum delay of a message
	proofSimulations  = 60
	proofReaders      = 3
)

func (m *proofMesh) time(at time.Duration) time.Time { return time.Unix(1000, 0).Add(at) }

// revision returns the revision in the store.
func (m *proofMesh) revision() uint64 { return uint64(len(m.written)) }

// delay returns a random delay, mostly short and sometimes very long.
func (m *proofMesh) delay() time.Duration {
	if m.random.IntN(10) == 0 {
		return time.Duration(m.random.Int64N(int64(proofMaximumDelay)))
	}
	return time.Duration(m.random.Int64N(int64(30 * time.Millisecond)))
}

// schedule schedules the arrival of a message at a process, unless the message is lost.
func (m *proofMesh) schedule(at *proofProcess, arrive func()) {
	if m.random.IntN(20) > 0 {
		m.events = append(m.events, proofEvent{at: m.now + m.delay(), process: at, arrive: arrive})
	}
}

// status is a process's revision and proof, as sent to another process.
type status struct {
	revision uint64
	age      time.Duration
	proven   bool
}

func (m *proofMesh) statusOf(p *proofProcess) status {
	age, proven := p.proof.Age(m.time(m.now))
	return status{revision: p.document.Revision(), age: age, proven: proven}
}

// handleStatus processes the status of a peer, requested at the given time.
func (m *proofMesh) handleStatus(p *proofProcess, received status, requestedAt time.Duration) {
	if m.injected == countsFromArrival {
		requestedAt = m.now
	}
	newer := received.revision > p.document.Revision()
	if newer { // the process fetches the document, which arrives later
		m.schedule(p, func() { p.document.Offer(received.revision, nil) })
	}
	if received.proven && (!newer || m.injected == trustsNewerPolicy) {
		p.proof.Record(m.time(requestedAt - received.age))
	}
}

// readStore makes a process read the store.
func (m *proofMesh) readStore(p *proofProcess) {
	requestedAt := m.now
	m.events = append(m.events, proofEvent{at: m.now + m.delay(), arrive: func() { // runs at the store
		revision := m.revision()
		m.schedule(p, func() {
			p.document.Offer(revision, nil)
			if m.injected == countsFromArrival {
				requestedAt = m.now
			}
			p.proof.Record(m.time(requestedAt))
		})
	}})
}

// askPeer makes a process request the status of a peer; the request carries its own status.
func (m *proofMesh) askPeer(p, peer *proofProcess) {
	requestedAt := m.now
	pushed := m.statusOf(p)
	m.schedule(peer, func() {
		if m.injected == trustsPushes {
			m.handleStatus(peer, pushed, m.now)
		}
		answer := m.statusOf(peer)
		m.schedule(p, func() { m.handleStatus(p, answer, requestedAt) })
	})
}

// deliver runs the events that are due, at processes that can receive messages.
func (m *proofMesh) deliver() {
	due := m.events
	m.events = nil
	for _, e := range due {
		waits := e.at > m.now || (e.process != nil && (e.process.frozenUntil > m.now || e.process.inboundHeldUntil > m.now))
		if waits {
			m.events = append(m.events, e)
			continue
		}
		e.arrive()
	}
}

// run simulates the mesh. It returns how often a process trusted its revision, and how often
// that revision had been replaced for longer than the bound.
func (m *proofMesh) run() (violations, trusted int) {
	for ; m.now < proofDuration; m.now += proofStep {
		if m.now == 0 || m.random.IntN(200) == 0 {
			m.written = append(m.written, m.now)
		}
		m.deliver()
		for i, p := range m.processes {
			switch m.random.IntN(2000) {
			case 0:
				p.frozenUntil = m.now + time.Duration(m.random.Int64N(int64(8*time.Second)))
			case 1:
				p.inboundHeldUntil = m.now + time.Duration(m.random.Int64N(int64(8*time.Second)))
			}
			if p.frozenUntil > m.now {
				continue
			}
			if i < proofReaders && m.random.IntN(35) == 0 {
				m.readStore(p)
			}
			if m.random.IntN(25) == 0 {
				m.askPeer(p, m.processes[m.random.IntN(len(m.processes))])
			}
			if age, known := p.proof.Age(m.time(m.now)); known && age < proofBound {
				trusted++
				if m.isStale(p) {
					violations++
				}
			}
		}
	}
	return violations, trusted
}

// isStale reports whether the revision after that of the process was written longer than the
// bound ago.
func (m *proofMesh) isStale(p *proofProcess) bool {
	held := p.document.Revision()
	return held < m.revision() && m.now-m.written[held] > proofBound
}

func newProofMesh(seed uint64, injected defect) *proofMesh {
	m := &proofMesh{random: rand.New(rand.NewPCG(seed, 3)), injected: injected}
	for range proofReaders + 1 + m.random.IntN(30) {
		m.processes = append(m.processes, &proofProcess{})
	}
	return m
}

// TestStaleRevisionIsNotTrusted guards against trust in a revision that was replaced longer
// ago than the bound, while messages are delayed or lost and processes are suspended.
func TestStaleRevisionIsNotTrusted(t *testing.T) {
	allTrusted := 0
	for seed := range uint64(proofSimulations) {
		violations, trusted := newProofMesh(seed, noDefect).run()
		allTrusted += trusted
		if violations > 0 {
			t.Errorf("seed %d: a replaced revision was trusted %d times", seed, violations)
		}
	}
	if allTrusted == 0 {
		t.Error("no process ever trusted a revision")
	}
}

// TestEachSafeguardIsNeeded disables one safeguard at a time and expects violations, which
// shows that TestStaleRevisionIsNotTrusted exercises it.
func TestEachSafeguardIsNeeded(t *testing.T) {
	for name, injected := range map[string]defect{
		"proof counts from the request":      countsFromArrival,
		"newer revision proves no older one": trustsNewerPolicy,
		"unrequested status is not a proof":  trustsPushes,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(proofSimulations) {
				if violations, _ := newProofMesh(seed, injected).run(); violations > 0 {
					return
				}
			}
			t.Error("no violation without this safeguard")
		})
	}
}

// TestOlderProofIsIgnored: an older proof must not replace a newer one.
func TestOlderProofIsIgnored(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	proof := &Proof{}
	_, known := proof.Age(start)
	is.True(!known)
	proof.Record(start.Add(-2 * time.Second))
	proof.Record(start.Add(-3 * time.Second))
	age, known := proof.Age(start.Add(time.Second))
	is.True(known)
	is.Equal(age, 3*time.Second)
}
