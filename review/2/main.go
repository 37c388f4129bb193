// Command 2 is case 2 of the review: a node that has just been started acknowledges that the back end
// beside it leaves, and opens it again when a heartbeat from before arrives late.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/loomcleat/loomcleat/review/harness"
)

const (
	// workTime is the work of a keepership transfer.
	workTime = 400 * time.Millisecond
	// interval is the time between two transfers.
	interval = 50 * time.Millisecond
	deadline = 6 * time.Second
	// lateBy is how late the heartbeats of the leaving back end arrive.
	lateBy = 3 * time.Second
	// leaveAfter is the time between the last heartbeat and the announcement that the back end leaves.
	leaveAfter = 500 * time.Millisecond
	// serveOn is how long the back end serves after the acknowledgement.
	serveOn = 10 * time.Second
	// usual is the time of traffic before anything happens.
	usual = 3 * time.Second
)

// arrival is a request that reached the leaving back end.
type arrival struct {
	id string
	at time.Time
}

type transfers struct {
	record *harness.Record

	mutex    sync.Mutex
	sent     map[string]time.Time // by request ID
	replies  map[string]harness.Reply
	arrivals []arrival // at the leaving back end
	atWork   map[string]bool
}

// handle is a back end.
func (t *transfers) handle(leaving bool, a *harness.Arrival) {
	t.mutex.Lock()
	if leaving {
		t.arrivals = append(t.arrivals, arrival{a.ID, time.Now()})
		t.atWork[a.ID] = true
	}
	t.mutex.Unlock()
	t.record.Line("back end at %s runs %s", a.Backend.Machine.Name, a.ID)
	time.Sleep(workTime)
	t.mutex.Lock()
	delete(t.atWork, a.ID)
	t.mutex.Unlock()
	a.Answer(200, map[string]string{harness.Protocol.Seal: "sealed-" + a.ID}, "recorded")
}

func (t *transfers) transfer(machine *harness.Machine) {
	request := harness.Request{ID: harness.NewID(), Method: "POST", Path: "/puka111/transfer", Body: "order", Deadline: deadline}
	t.mutex.Lock()
	t.sent[request.ID] = time.Now()
	t.mutex.Unlock()
	reply := harness.Send(machine, request)
	t.mutex.Lock()
	t.replies[request.ID] = reply
	t.mutex.Unlock()
	t.record.Line("client at %s gets %d for %s after %s, error %v", machine.Name, reply.Status, request.ID, reply.Took.Round(time.Millisecond), reply.Err)
}

func run() (broken bool, err error) {
	record, err := harness.NewRecord(filepath.Join("review", "2", "record.txt"))
	if err != nil {
		return false, err
	}
	defer record.Close()
	trouble := os.Getenv("TROUBLE") != "0"
	record.Say("trouble: %t", trouble)
	t := &transfers{record: record, sent: map[string]time.Time{}, replies: map[string]harness.Reply{}, atWork: map[string]bool{}}
	mesh, err := harness.NewMesh(record, []string{"lookup-svc", "keeper-svc", "keeper-svc"}, []harness.Route{
		{Name: "r-lookup", Prefix: "/leny950/", Type: "safe", Timeout: "6000ms", Target: "1500ms", Priority: 2, Service: "lookup-svc", Attempts: 2},
		{Name: "r-keeper", Prefix: "/puka111/", Type: "unsafe", Timeout: "800ms", Target: "1500ms", Priority: 0, Service: "keeper-svc", Attempts: 2},
	})
	if err != nil {
		return false, err
	}
	defer mesh.Close()
	backends := []*harness.Backend{}
	for number, machine := range mesh.Machines {
		backend := &harness.Backend{Machine: machine, Slots: 116, Record: record, Handle: func(a *harness.Arrival) { t.handle(number == 1, a) }}
		if err := backend.Start(); err != nil {
			return false, err
		}
		defer backend.End()
		backends = append(backends, backend)
	}
	if err := mesh.Start(); err != nil {
		return false, err
	}
	time.Sleep(harness.Settling)
	stop := make(chan struct{})
	clients := sync.WaitGroup{}
	clients.Go(func() { t.play(mesh.Machines[0], stop, &clients) })
	defer clients.Wait()
	defer close(stop)
	time.Sleep(usual)
	return t.leave(mesh.Machines[1], backends[1], trouble)
}

// play sends transfers from one machine until stop is closed.
func (t *transfers) play(machine *harness.Machine, stop <-chan struct{}, clients *sync.WaitGroup) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(interval):
			clients.Go(func() { t.transfer(machine) })
		}
	}
}

// leave lets the back end of a machine leave, with trouble just after its node was stopped and started.
func (t *transfers) leave(machine *harness.Machine, backend *harness.Backend, trouble bool) (broken bool, err error) {
	startedAt := time.Time{}
	if trouble {
		t.record.Say("%s gets SIGTERM; its back end stays", machine.Name)
		machine.Terminate()
		if err := machine.Start(); err != nil {
			return false, err
		}
		startedAt = time.Now()
		t.record.Say("%s is started again", machine.Name)
	}
	backend.DelayHeartbeats(lateBy)
	if err := machine.AwaitListening(10 * time.Second); err != nil {
		return false, err
	}
	for end := time.Now().Add(5 * time.Second); backend.InTransit() == 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			return false, errors.New("no heartbeat was sent")
		}
	}
	time.Sleep(leaveAfter)
	backend.Leave()
	status, err := backend.Deregister()
	if err != nil || status/100 != 2 {
		return false, fmt.Errorf("the node did not acknowledge the leaving back end: status %d, %w", status, err)
	}
	acknowledgedAt := time.Now()
	t.record.Say("back end %s says that it leaves; the node acknowledges with %d", backend.ID(), status)
	time.Sleep(serveOn)
	t.mutex.Lock()
	cut := len(t.atWork)
	cutIDs := []string{}
	for id := range t.atWork {
		cutIDs = append(cutIDs, id)
	}
	t.mutex.Unlock()
	backend.End()
	t.record.Say("back end %s ends, %d requests at work", backend.ID(), cut)
	time.Sleep(time.Second)
	return t.judge(acknowledgedAt, startedAt, cutIDs), nil
}

// judge applies the rule DRAIN: requests that a client sent, at a time when all machines are in touch, and that
// reached the back end later than drain after the acknowledgement.
func (t *transfers) judge(acknowledgedAt, startedAt time.Time, cut []string) (broken bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	late := 0
	for _, reached := range t.arrivals {
		inTouch := startedAt.IsZero() || t.sent[reached.id].Sub(startedAt) > harness.Contact
		if reached.at.Sub(acknowledgedAt) > harness.Drain && inTouch {
			late++
			t.record.Line("DRAIN: %s, sent %.3f s after the acknowledgement, reaches the back end %.3f s after it", reached.id,
				t.sent[reached.id].Sub(acknowledgedAt).Seconds(), reached.at.Sub(acknowledgedAt).Seconds())
		}
	}
	lost := 0
	for _, id := range cut {
		if reply, ended := t.replies[id]; !ended || reply.Status != 200 {
			lost++
			t.record.Line("lost: %s was at work when the back end ended; the client got %d", id, reply.Status)
		}
	}
	t.record.Say("requests sent %d, arrivals at the leaving back end %d", len(t.sent), len(t.arrivals))
	t.record.Say("DRAIN: requests sent on by machines in touch that reached it later than %s after the acknowledgement: %d", harness.Drain, late)
	t.record.Say("requests that began to run there and were lost with its end: %d", lost)
	return late > 0
}

func main() {
	broken, err := run()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}
