package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/loomcleat/loomcleat/review/harness"
)

// Times and rates of the case "innocent".
const (
	popularRate     = 60.0 // of one request that all travellers send
	otherRate       = 10.0 // of requests that are sent once each
	crashingCopies  = 12
	crashedFor      = 2 * time.Second
	killAfterCrash  = 3 * time.Second
	measuredFor     = 20 * time.Second
	timetableWork   = 120 * time.Millisecond
	lookupTimeout   = 5 * time.Second
	timetableBefore = 5 * time.Second
	trafficAfter    = 2 * time.Second // after the machines are ready
)

const timetableConfiguration = `{"version":7,"services":[{"name":"schedule","health_path":"/health","max_connections":952},` +
	`{"name":"checkout","health_path":"/health","max_connections":952}],` +
	`"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"},` +
	`"hosts":[{"host":"ferry.example","paths":[{"name":"r-time","path_prefix":"/timetable/","type":"safe","timeout":"5000ms",` +
	`"target_latency":"1500ms","priority":2,"service":"schedule","max_attempts":2}]}]}`

// tally counts the requests that were sent in a span of time and those of them that were served.
type tally struct {
	mutex        sync.Mutex
	sent, served int
}

func (t *tally) add(got outcome) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.sent++
	if got.served {
		t.served++
	}
}

func (t *tally) read() (sent, served int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.sent, t.served
}

// innocent sends one request that crashes the back ends that run it, at all machines at once, while travellers
// send another one. Then all processes of the system are killed and start again. From the bound of recovery
// on, a quarter of the requests must be served.
func innocent(b *bench, trouble bool) (bool, error) {
	for _, m := range []struct{ service, zone string }{{"schedule", "a"}, {"schedule", "b"}, {"schedule", "c"}, {"checkout", "a"}} {
		n, err := b.addNode(m.service, m.zone)
		if err != nil {
			return false, err
		}
		b.addBackend(n, timetableWork, 100)
	}
	b.configure(timetableConfiguration)
	for _, app := range b.backends {
		app.handle = crashIfBroken
	}
	if err := b.startAll(); err != nil {
		return false, err
	}
	time.Sleep(trafficAfter)
	var clients []*client
	for i, n := range b.nodes {
		clients = append(clients, b.newClient(fmt.Sprintf("c%d-", i+1), n, "ferry.example"))
	}
	var before, after tally
	var mutex sync.Mutex
	measured := &before
	record := func(path string, at *tally, got outcome) {
		b.rec.printf("client: %s GET %s gets %d", got.id, path, got.status)
		if at != nil {
			at.add(got)
		}
	}
	send := func(path string, number int) {
		mutex.Lock()
		at := measured
		mutex.Unlock()
		record(path, at, clients[number%len(clients)].send(http.MethodGet, path, "", lookupTimeout))
	}
	stopPopular := load(popularRate, func(number int) { send("/timetable/today", number) })
	defer stopPopular()
	stopOther := load(otherRate, func(number int) { send(fmt.Sprintf("/timetable/sailing-%d", number), number) })
	defer stopOther()
	time.Sleep(timetableBefore)
	if trouble {
		b.rec.printf("the request that crashes back ends is sent, %d times at once", crashingCopies)
		var copies sync.WaitGroup
		for i := range crashingCopies {
			copies.Go(func() {
				got := clients[i%len(clients)].send(http.MethodGet, "/timetable/broken", "", lookupTimeout)
				b.rec.printf("client: %s GET /timetable/broken gets %d", got.id, got.status)
			})
		}
		copies.Wait()
	}
	time.Sleep(killAfterCrash)
	mutex.Lock()
	measured = nil
	mutex.Unlock()
	b.rec.printf("final fault: all processes are killed")
	if err := b.killAll(restartDelay); err != nil {
		return false, err
	}
	time.Sleep(recoveryBound)
	b.rec.printf("the time of recovery is over")
	mutex.Lock()
	measured = &after
	mutex.Unlock()
	time.Sleep(measuredFor)
	mutex.Lock()
	measured = nil
	mutex.Unlock()
	time.Sleep(time.Second)
	sentBefore, servedBefore := before.read()
	sentAfter, servedAfter := after.read()
	b.rec.printf("before the final fault %d of %d served, later than %s after the return %d of %d", servedBefore, sentBefore, recoveryBound, servedAfter, sentAfter)
	if sentAfter == 0 || 4*servedBefore < sentBefore {
		return false, fmt.Errorf("too little was served before")
	}
	return 4*servedAfter < sentAfter, nil
}

// crashIfBroken crashes the back end that begins to run the request that does so. It is back after some
// seconds.
func crashIfBroken(app *backend, _ http.ResponseWriter, r *http.Request) bool {
	if r.URL.Path != "/timetable/broken" {
		return false
	}
	id, running := app.current()
	if !running {
		return true
	}
	app.node.bench.rec.printf("%s begins to run %s and crashes", id, r.Header.Get(harness.Protocol.RequestID))
	app.end()
	time.AfterFunc(crashedFor, func() {
		if err := app.start(); err != nil {
			app.node.bench.rec.printf("the back end beside %s does not start again: %v", app.node.name, err)
		}
	})
	return true
}
