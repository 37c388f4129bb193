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
	done        chan struct{} // closed when the outcome is known

	mutex  sync.Mutex
	id     string // of the claim now asked for
	state  wire.RunState
	answer *claims.Answer
}

// setID sets the id of the claim that is asked for now.
func (r *run) setID(id string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.id = id
}

// ID returns the id of the claim last asked for.
func (r *run) ID() string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.id
}

// end sets the outcome, once.
func (r *run) end(state wire.RunState, answer *claims.Answer) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.state != wire.RunActive {
		return
	}
	r.state, r.answer = state, answer
	close(r.done)
}

// outcome returns the state and the answer when it was kept.
func (r *run) outcome() (wire.RunState, *claims.Answer) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.state, r.answer
}

// runs is the table of the runs of this process.
type runs struct {
	retention time.Duration
	mutex     sync.Mutex
	byKey     map[claims.Key]*run
	order     []*run // by start time
}

func newRuns(retention time.Duration) *runs {
	return &runs{retention: retention, byKey: map[claims.Key]*run{}}
}

// begin enters a run, or returns the one that the key has already.
func (t *runs) begin(now time.Time, key claims.Key, fingerprint uint64) (entered *run, fresh bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if known, exists := t.byKey[key]; exists {
		return known, false
	}
	entered = &run{key: key, fingerprint: fingerprint, started: now, done: make(chan struct{}), state: wire.RunActive}
	t.byKey[key] = entered
	t.order = append(t.order, entered)
	return entered, true
}

// forget removes a run that never ran, so that the request may be sent again.
func (t *runs) forget(entered *run) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.byKey[entered.key] == entered {
		delete(t.byKey, entered.key)
	}
}

// find returns the run of a key with the given claim id, nil when there is none.
func (t *runs) find(key claims.Key, id string) *run {
	t.mutex.Lock()
	known := t.byKey[key]
	t.mutex.Unlock()
	if known == nil || known.ID() != id {
		return nil
	}
	return known
}

// expire forgets runs that are older than the retention time.
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
