package spread

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// proofMesh is a mesh in virtual time: a store whose document gets new revisions, a few
// processes that read it, and all others that ask peers. Messages are delayed, lost and
// cut in one direction, and processes freeze.
type proofMesh struct {
	random    *rand.Rand
	now       time.Duration
	written   []time.Duration // when each revision was written; the first is revision 1
	processes []*proofProcess
	events    []proofEvent
	weakened  weakness
}

// proofProcess is one process with what it believes.
type proofProcess struct {
	proof  Proof
	keeper Keeper
	frozen time.Duration // until then
	deaf   time.Duration // nothing arrives until then
}

// proofEvent is something that arrives at a process.
type proofEvent struct {
	at      time.Duration
	process *proofProcess
	arrive  func()
}

// weakness is a safeguard that is taken away.
type weakness int

const (
	intact            weakness = iota
	countsFromArrival          // a proof counts from when the answer came
	trustsNewerPolicy          // the proof of a peer counts for an older policy as well
	believesPushes             // what peers tell unasked counts as a proof
)

const (
	proofBound   = 5 * time.Second // after which a revision must not be trusted any more
	proofStep    = 20 * time.Millisecond
	proofPlay    = 40 * time.Second
	proofWorst   = 4 * time.Second // that a message is delayed
	proofPlays   = 60
	proofReaders = 3
)

func (m *proofMesh) time(at time.Duration) time.Time { return time.Unix(1000, 0).Add(at) }

// revision is that of the store.
func (m *proofMesh) revision() uint64 { return uint64(len(m.written)) }

// delay is mostly short and sometimes very long.
func (m *proofMesh) delay() time.Duration {
	if m.random.IntN(10) == 0 {
		return time.Duration(m.random.Int64N(int64(proofWorst)))
	}
	return time.Duration(m.random.Int64N(int64(30 * time.Millisecond)))
}

// later lets something arrive at a process after a delay, unless it is lost.
func (m *proofMesh) later(at *proofProcess, arrive func()) {
	if m.random.IntN(20) > 0 {
		m.events = append(m.events, proofEvent{at: m.now + m.delay(), process: at, arrive: arrive})
	}
}

// told is what a process tells another one.
type told struct {
	revision uint64
	age      time.Duration
	proven   bool
}

func (m *proofMesh) tell(p *proofProcess) told {
	age, proven := p.proof.Age(m.time(m.now))
	return told{revision: p.keeper.Revision(), age: age, proven: proven}
}

// take lets a process take what it was told; asked is when it had asked.
func (m *proofMesh) take(p *proofProcess, what told, asked time.Duration) {
	if m.weakened == countsFromArrival {
		asked = m.now
	}
	newer := what.revision > p.keeper.Revision()
	if newer { // it fetches the document, which arrives later
		m.later(p, func() { p.keeper.Offer(what.revision, nil) })
	}
	if what.proven && (!newer || m.weakened == trustsNewerPolicy) {
		p.proof.Record(m.time(asked - what.age))
	}
}

// readStore lets a process read the store.
func (m *proofMesh) readStore(p *proofProcess) {
	asked := m.now
	m.events = append(m.events, proofEvent{at: m.now + m.delay(), arrive: func() { // at the store
		revision := m.revision()
		m.later(p, func() {
			p.keeper.Offer(revision, nil)
			if m.weakened == countsFromArrival {
				asked = m.now
			}
			p.proof.Record(m.time(asked))
		})
	}})
}

// askPeer lets a process ask another one, and tell it what it knows unasked.
func (m *proofMesh) askPeer(p, peer *proofProcess) {
	asked := m.now
	pushed := m.tell(p)
	m.later(peer, func() {
		if m.weakened == believesPushes {
			m.take(peer, pushed, m.now)
		}
		answer := m.tell(peer)
		m.later(p, func() { m.take(p, answer, asked) })
	})
}

// deliver lets everything arrive that is due, at processes that are not frozen or deaf.
func (m *proofMesh) deliver() {
	due := m.events
	m.events = nil
	for _, e := range due {
		waits := e.at > m.now || (e.process != nil && (e.process.frozen > m.now || e.process.deaf > m.now))
		if waits {
			m.events = append(m.events, e)
			continue
		}
		e.arrive()
	}
}

// play returns how often a process trusted a revision that had been replaced for longer
// than the bound.
func (m *proofMesh) play() (broken, trusted int) {
	for ; m.now < proofPlay; m.now += proofStep {
		if m.now == 0 || m.random.IntN(200) == 0 {
			m.written = append(m.written, m.now)
		}
		m.deliver()
		for i, p := range m.processes {
			switch m.random.IntN(2000) {
			case 0:
				p.frozen = m.now + time.Duration(m.random.Int64N(int64(8*time.Second)))
			case 1:
				p.deaf = m.now + time.Duration(m.random.Int64N(int64(8*time.Second)))
			}
			if p.frozen > m.now {
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
					broken++
				}
			}
		}
	}
	return broken, trusted
}

// isStale reports whether a later revision than that of the process was written longer
// than the bound ago.
func (m *proofMesh) isStale(p *proofProcess) bool {
	have := p.keeper.Revision()
	return have < m.revision() && m.now-m.written[have] > proofBound
}

func newProofMesh(seed uint64, weakened weakness) *proofMesh {
	m := &proofMesh{random: rand.New(rand.NewPCG(seed, 3)), weakened: weakened}
	for range proofReaders + 1 + m.random.IntN(30) {
		m.processes = append(m.processes, &proofProcess{})
	}
	return m
}

// TestNothingIsTrustedLongerThanItsProof whatever is delayed, lost, frozen or cut.
func TestNothingIsTrustedLongerThanItsProof(t *testing.T) {
	allTrusted := 0
	for seed := range uint64(proofPlays) {
		broken, trusted := newProofMesh(seed, intact).play()
		allTrusted += trusted
		if broken > 0 {
			t.Errorf("seed %d: a replaced revision was trusted %d times", seed, broken)
		}
	}
	if allTrusted == 0 {
		t.Error("no process ever trusted anything")
	}
}

// TestEachSafeguardOfProofsIsNeeded takes one after the other away. The plays above must
// find it out.
func TestEachSafeguardOfProofsIsNeeded(t *testing.T) {
	for name, weakened := range map[string]weakness{
		"a proof counts from when it was asked for": countsFromArrival,
		"a proof counts for no older policy":        trustsNewerPolicy,
		"what a peer tells unasked is no proof":     believesPushes,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(proofPlays) {
				if broken, _ := newProofMesh(seed, weakened).play(); broken > 0 {
					return
				}
			}
			t.Error("no play needs it")
		})
	}
}

// TestAProofIsALowerBound: older news changes nothing.
func TestAProofIsALowerBound(t *testing.T) {
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
