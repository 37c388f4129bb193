// Command 1 is case 1 of the review: a back end sheds a request that may not be repeated, sends that
// answer once more, late, and runs the request when it comes again.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/loomcleat/loomcleat/review/harness"
)

const (
	// workTime is the work of a keepership transfer.
	workTime = 120 * time.Millisecond
	// surplusDelay is how late the surplus answer arrives.
	surplusDelay = 20 * time.Millisecond
	// shedEvery is the share of transfers that the back end sheds when they first arrive: one in so many.
	shedEvery = 10
	// interval is the time between two transfers of a client.
	interval = 100 * time.Millisecond
	// duration is how long clients begin transfers.
	duration = 20 * time.Second
	deadline = 6 * time.Second
	// afterwards is how long a request may still run after its answer.
	afterwards = 2 * time.Second
)

// transfers counts what clients and the back end have seen.
type transfers struct {
	record  *harness.Record
	trouble bool

	mutex   sync.Mutex
	arrived map[string]int    // arrivals by request ID
	runs    map[string]int    // by request ID
	orders  map[string]int    // runs by order
	seen    int               // requests that arrived for the first time
	promise map[string]string // answers that promise that the request never runs, by request ID
	shed    int
	surplus int
}

// handle is the back end: it sheds the first arrival of one request in shedEvery and runs all others.
func (t *transfers) handle(arrival *harness.Arrival) {
	order := string(arrival.Body)
	t.mutex.Lock()
	t.arrived[arrival.ID]++
	first := t.arrived[arrival.ID] == 1
	if first {
		t.seen++
	}
	sheds := first && t.seen%shedEvery == 0
	if sheds {
		t.shed++
	} else {
		t.runs[arrival.ID]++
		t.orders[order]++
	}
	t.mutex.Unlock()
	if sheds {
		t.refuse(arrival, "sheds")
		if t.trouble {
			time.AfterFunc(surplusDelay, func() { t.refuse(arrival, "sends the same answer once more after it has shed") })
		}
		return
	}
	t.record.Line("back end runs %s (%s)", arrival.ID, order)
	time.Sleep(workTime)
	arrival.Answer(200, map[string]string{harness.Protocol.Seal: "sealed-" + arrival.ID}, "recorded "+order)
	t.record.Line("back end has run %s (%s) and answers 200", arrival.ID, order)
}

func (t *transfers) refuse(arrival *harness.Arrival, what string) {
	t.record.Line("back end %s %s: 503, not executed", what, arrival.ID)
	arrival.Answer(503, map[string]string{harness.Protocol.NotRun: "1"}, "")
	if what != "sheds" {
		t.mutex.Lock()
		t.surplus++
		t.mutex.Unlock()
	}
}

// transfer sends one order, and once more with another ID after a promise that it has not run.
func (t *transfers) transfer(machine *harness.Machine, order string) {
	for try := range 2 {
		request := harness.Request{ID: harness.NewID(), Method: "POST", Path: "/puka111/transfer", Body: order, Deadline: deadline}
		t.record.Line("client at %s sends %s (%s, try %d)", machine.Name, request.ID, order, try+1)
		reply := harness.Send(machine, request)
		t.record.Line("client gets %d for %s (%s), sealed %t, retry after %s, error %v", reply.Status, request.ID, order, reply.Sealed, reply.RetryAfter, reply.Err)
		if !reply.Promise() {
			return
		}
		t.mutex.Lock()
		t.promise[request.ID] = fmt.Sprintf("%d for %s at %s", reply.Status, order, machine.Name)
		t.mutex.Unlock()
		time.Sleep(min(reply.RetryAfter, deadline/3))
	}
}

func run() (broken bool, err error) {
	record, err := harness.NewRecord(filepath.Join("review", "1", "record.txt"))
	if err != nil {
		return false, err
	}
	defer record.Close()
	t := &transfers{record: record, trouble: os.Getenv("TROUBLE") != "0",
		arrived: map[string]int{}, runs: map[string]int{}, orders: map[string]int{}, promise: map[string]string{}}
	record.Say("trouble: %t", t.trouble)
	mesh, err := harness.NewMesh(record, []string{"lookup-svc", "lookup-svc", "keeper-svc"}, []harness.Route{
		{Name: "r-lookup", Prefix: "/leny950/", Type: "safe", Timeout: "6000ms", Target: "1500ms", Priority: 2, Service: "lookup-svc", Attempts: 2},
		{Name: "r-keeper", Prefix: "/puka111/", Type: "unsafe", Timeout: "800ms", Target: "1500ms", Priority: 0, Service: "keeper-svc", Attempts: 2},
	})
	if err != nil {
		return false, err
	}
	defer mesh.Close()
	for _, machine := range mesh.Machines {
		backend := &harness.Backend{Machine: machine, Slots: 116, Handle: t.handle, Record: record}
		if err := backend.Start(); err != nil {
			return false, err
		}
		defer backend.End()
	}
	if err := mesh.Start(); err != nil {
		return false, err
	}
	time.Sleep(harness.Settling)
	t.play(mesh.Machines[:2])
	time.Sleep(afterwards)
	return t.judge(), nil
}

// play lets a client on each machine send its orders.
func (t *transfers) play(machines []*harness.Machine) {
	clients := sync.WaitGroup{}
	for _, machine := range machines {
		end := time.Now().Add(duration)
		clients.Go(func() {
			for number := 0; time.Now().Before(end); number++ {
				order := fmt.Sprintf("order %s-%d", machine.Name, number)
				clients.Go(func() { t.transfer(machine, order) })
				time.Sleep(interval)
			}
		})
	}
	clients.Wait()
}

// judge applies the rule REFUSED, and reports what that did to the orders.
func (t *transfers) judge() (broken bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	ranThough, twice := []string{}, 0
	for id, answer := range t.promise {
		if t.runs[id] > 0 {
			ranThough = append(ranThough, fmt.Sprintf("%s: answer %s, runs %d", id, answer, t.runs[id]))
		}
	}
	doubled := 0
	for _, runs := range t.runs {
		if runs > 1 {
			twice++
		}
	}
	for _, runs := range t.orders {
		if runs > 1 {
			doubled++
		}
	}
	t.record.Say("requests that arrived %d, shed %d, surplus answers %d, promises to clients %d", t.seen, t.shed, t.surplus, len(t.promise))
	t.record.Say("REFUSED: requests that ran although their client got 503, 429, 408 or 421: %d", len(ranThough))
	t.record.Say("requests that ran more than once: %d; orders that were recorded twice, since the client heeded the promise: %d", twice, doubled)
	for _, found := range ranThough {
		t.record.Line("REFUSED: %s", found)
	}
	return len(ranThough) > 0
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
