package once

import (
	"sync"
	"time"

	"github.com/loomcleat/loomcleat/claims"
	"github.com/loomcleat/loomcleat/wire"
)

// run is one attempt of this process to run a request.
type run struct {
	key         claims.Key
	fingerprint uint64
	started     time.Time
	// Closed when the outcome is known.
	done chan struct{}

	mutex sync.Mutex
	// Id of the latest claim; each round makes a new one.
	id     string
	state  wire.RunState
	answer *claims.Answer
}

// setID sets the id of the claim that is being requested.
func (r *run) setID(id string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.id = id
}

// ID returns the id of the claim that was requested last.
func (r *run) ID() string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.id
}

// finish sets the outcome. Only the first call has an effect.
func (r *run) finish(state wire.RunState, answer *claims.Answer) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.state != wire.RunActive {
		return
	}
	r.state, r.answer = state, answer
	close(r.done)
}

// outcome returns the state of the run and its answer, nil if that was not stored.
func (r *run) outcome() (wire.RunState, *claims.Answer) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.state, r.answer
}

// runs is the table of the runs of this process. It is safe for concurrent use.
type runs struct {
	retention time.Duration
	mutex     sync.Mutex
	byKey     map[claims.Key]*run
	order     []*run // By start time.
}

func newRuns(retention time.Duration) *runs {
	return &runs{retention: retention, byKey: map[claims.Key]*run{}}
}

// begin adds a run for a key, or returns the existing one with false.
func (t *runs) begin(now time.Time, key claims.Key, fingerprint uint64) (added *run, isNew bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if known, exists := t.byKey[key]; exists {
		return known, false
	}
	added = &run{key: key, fingerprint: fingerprint, started: now, done: make(chan struct{}), state: wire.RunActive}
	t.byKey[key] = added
	t.order = append(t.order, added)
	return added, true
}

// remove removes a run that did not reach the back end, so that the request may be repeated.
func (t *runs) remove(added *run) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.byKey[added.key] == added {
		delete(t.byKey, added.key)
	}
}

// find returns the run of a key if its latest claim has the given id, and nil otherwise.
func (t *runs) find(key claims.Key, id string) *run {
	t.mutex.Lock()
	known := t.byKey[key]
	t.mutex.Unlock()
	if known == nil || known.ID() != id {
		return nil
	}
	return known
}

// expire removes runs that started more than the retention time ago.
func (t *runs) expire(now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	count := 0
	for count < len(t.order) && now.Sub(t.order[count].started) > t.retention {
		old := t.order[count]
		if t.byKey[old.key] == old {
			delete(t.byKey, old.key)
		}
		count++
	}
	t.order = append(t.order[:0], t.order[count:]...)
}
