package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Times of the case "acknowledged", from the acknowledgement.
const (
	killAfter      = time.Second
	restartDelay   = 500 * time.Millisecond
	lateBeatAfter  = 6500 * time.Millisecond
	leavingServes  = 12 * time.Second
	requestsRate   = 60.0
	requestTimeout = 6 * time.Second
)

// acknowledged makes a back end leave by DELETE, which its node acknowledges. A second later all processes of
// the system are killed, and start again. A heartbeat that the back end sent before arrives late. From the
// drain time on, no request may reach the back end through machines in touch.
func acknowledged(b *bench, trouble bool) (bool, error) {
	if err := addKeepers(b); err != nil {
		return false, err
	}
	leaver := b.backends[0]
	var mutex sync.Mutex
	var leftAt, inTouchAt time.Time // zero until known
	late := 0
	for _, app := range b.backends[:2] {
		app.work = 160 * time.Millisecond
		app.started = func(app *backend, id string, _ *http.Request) {
			mutex.Lock()
			defer mutex.Unlock()
			note := ""
			now := time.Now()
			if app == leaver && !leftAt.IsZero() {
				note = fmt.Sprintf(", %.3f s after the acknowledgement", now.Sub(leftAt).Seconds())
				if now.Sub(leftAt) > drainBound && !inTouchAt.IsZero() && now.After(inTouchAt) {
					late++
					note += ": TOO LATE"
				}
			}
			b.rec.printf("%s runs %s%s", app.id, id, note)
		}
	}
	if err := b.startAll(); err != nil {
		return false, err
	}
	c := b.newClient("r", b.nodes[2], "register.example")
	stop := load(requestsRate, func(number int) {
		got := c.send(http.MethodPost, fmt.Sprintf("/keep/%d", number), "transfer", requestTimeout)
		b.rec.printf("client: %s gets %d", got.id, got.status)
	})
	defer stop()
	time.Sleep(5 * time.Second)
	leaver.hold() // heartbeats come late from now on
	time.Sleep(beatInterval + 200*time.Millisecond)
	acknowledgedAt, err := leaver.leaveByDelete()
	if err != nil {
		return false, err
	}
	mutex.Lock()
	leftAt, inTouchAt = acknowledgedAt, acknowledgedAt
	if trouble {
		inTouchAt = acknowledgedAt.Add(killAfter + restartDelay + contactBound + 200*time.Millisecond)
	}
	mutex.Unlock()
	if trouble {
		time.Sleep(killAfter)
		if err := b.killAll(restartDelay); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(acknowledgedAt.Add(lateBeatAfter)))
	leaver.releaseHeld()
	time.Sleep(time.Until(acknowledgedAt.Add(leavingServes)))
	leaver.end()
	b.rec.printf("the back end ends")
	mutex.Lock()
	defer mutex.Unlock()
	b.rec.printf("requests that reached the leaving back end more than %s after the acknowledgement, through machines in touch: %d", drainBound, late)
	return late > 0, nil
}

// hold holds heartbeats back from now on.
func (a *backend) hold() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.holdFrom = a.sequence + 1
}

// leaveByDelete announces that the back end leaves, without a heartbeat that says so, and returns when the
// node has acknowledged that.
func (a *backend) leaveByDelete() (time.Time, error) {
	a.mutex.Lock()
	a.quiet, a.leaving = true, true
	id, born := a.id, a.born
	a.mutex.Unlock()
	a.node.bench.rec.printf("%s sends DELETE", id)
	status := a.tell(http.MethodDelete, id, fmt.Appendf(nil, `{"born":%d}`, born))
	if status != http.StatusOK {
		return time.Time{}, fmt.Errorf("the DELETE got %d", status)
	}
	a.node.bench.rec.printf("%s: its DELETE was acknowledged with 200", id)
	return time.Now(), nil
}

// releaseHeld delivers the heartbeats that were held back: the first one now, the others as much later as they
// were sent later.
func (a *backend) releaseHeld() {
	a.mutex.Lock()
	held := a.held
	a.held = nil
	a.mutex.Unlock()
	for _, late := range held {
		time.AfterFunc(late.sentAt.Sub(held[0].sentAt), func() {
			a.node.bench.rec.printf("a heartbeat of %s (%s) arrives %.1f s late: %d", late.id, late.state, time.Since(late.sentAt).Seconds(), a.put(late))
		})
	}
}
