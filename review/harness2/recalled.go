package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Times and rates of the case "recalled".
const (
	knowingRate     = 10.0  // of the client whose machine knows that the back end leaves
	unknowingRate   = 100.0 // of the client whose machine does not
	leavingKill     = 2500 * time.Millisecond
	recalledServes  = 4 * time.Second // after the restart
	recalledTimeout = time.Second
)

// recalled makes a back end leave, which it says in its answers, and in heartbeats that come seconds late. The
// process beside it is killed and starts again. From the drain time on after a machine has passed on such an
// answer, no request of its clients may reach the back end, whatever other machines send.
func recalled(b *bench, trouble bool) (bool, error) {
	for _, m := range []struct{ service, zone string }{{"keeper", "a"}, {"lookup", "b"}, {"lookup", "c"}} {
		n, err := b.addNode(m.service, m.zone)
		if err != nil {
			return false, err
		}
		b.addBackend(n, 5*time.Millisecond, 100)
	}
	b.configure(keeperConfiguration)
	leaver, beside := b.backends[0], b.nodes[0]
	var mutex sync.Mutex
	sentAt := map[string]time.Time{}
	var passedOn time.Time // when the knowing machine passed on the first answer that says so
	late := 0
	leaver.started = func(app *backend, id string, _ *http.Request) {
		mutex.Lock()
		defer mutex.Unlock()
		note := ""
		if sent, known := sentAt[id]; known && !passedOn.IsZero() && sent.Sub(passedOn) > drainBound {
			late++
			note = fmt.Sprintf(", SENT %.3f s AFTER ITS MACHINE PASSED ON SUCH AN ANSWER", sent.Sub(passedOn).Seconds())
		}
		b.rec.printf("%s runs %s%s", app.id, id, note)
	}
	if err := b.startAll(); err != nil {
		return false, err
	}
	time.Sleep(trafficAfter)
	knowing := b.newClient("k", b.nodes[1], "register.example")
	unknowing := b.newClient("u", b.nodes[2], "register.example")
	stopKnowing := load(knowingRate, func(number int) {
		at := time.Now()
		got := knowing.sendNoted(http.MethodPost, fmt.Sprintf("/keep/k%d", number), "transfer", recalledTimeout, func(id string) {
			mutex.Lock()
			defer mutex.Unlock()
			sentAt[id] = at
		})
		mutex.Lock()
		if got.leaving && passedOn.IsZero() {
			passedOn = time.Now()
			b.rec.printf("%s has passed on an answer that says so", b.nodes[1].name)
		}
		mutex.Unlock()
		b.rec.printf("client: %s gets %d, leaving %t", got.id, got.status, got.leaving)
	})
	defer stopKnowing()
	time.Sleep(2 * time.Second)
	leaver.hold() // heartbeats come late from now on
	time.Sleep(beatInterval)
	leaver.beginLeaving()
	time.Sleep(leavingKill)
	stopUnknowing := load(unknowingRate, func(number int) {
		got := unknowing.send(http.MethodPost, fmt.Sprintf("/keep/u%d", number), "transfer", recalledTimeout)
		b.rec.printf("client: %s gets %d, leaving %t", got.id, got.status, got.leaving)
	})
	defer stopUnknowing()
	if trouble {
		beside.signal(syscall.SIGKILL)
		time.Sleep(restartDelay)
		if err := beside.start(); err != nil {
			return false, err
		}
		if err := beside.awaitControl(); err != nil {
			return false, err
		}
	}
	leaver.releaseHeld()
	time.Sleep(recalledServes)
	leaver.end()
	mutex.Lock()
	defer mutex.Unlock()
	b.rec.printf("requests that reached the leaving back end from the machine, sent more than %s after it had passed on such an answer: %d", drainBound, late)
	if passedOn.IsZero() {
		return false, fmt.Errorf("no answer that says so was passed on")
	}
	return late > 0, nil
}
