package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/loomcleat/loomcleat/review/harness"
)

// backend is a stand-in of the application back end beside a node, written from the users' pages.
type backend struct {
	node  *node
	work  time.Duration
	slots int
	// handle answers a request in place of the usual answer if it is set, and reports whether it did.
	handle func(app *backend, w http.ResponseWriter, r *http.Request) bool
	// started is told each request that begins to run.
	started func(app *backend, id string, r *http.Request)

	mutex    sync.Mutex
	starts   int
	id       string
	born     int64
	sequence int
	server   *http.Server
	quiet    bool // sends no heartbeats
	leaving  bool
	draining bool // its heartbeats say so
	holdFrom int  // heartbeats with this sequence or a later one are held back; 0: none
	held     []beat
}

// beat is a heartbeat.
type beat struct {
	id     string
	body   []byte
	state  string
	sentAt time.Time
}

// addBackend adds the back end of a machine.
func (b *bench) addBackend(n *node, work time.Duration, slots int) *backend {
	app := &backend{node: n, work: work, slots: slots}
	b.backends = append(b.backends, app)
	return app
}

// start starts a new incarnation and its heartbeats.
func (a *backend) start() error {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	listener, err := net.Listen("tcp", a.node.address(portApp))
	if err != nil {
		return err
	}
	a.starts++
	a.id = fmt.Sprintf("i-%s-%d", a.node.name, a.starts)
	a.born, a.sequence, a.quiet, a.leaving, a.draining = time.Now().UnixMilli(), 0, false, false, false
	id := a.id
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { a.serve(w, r, id) })}
	a.server = server
	go func() { _ = server.Serve(listener) }()
	go a.beatWhileRunning(id)
	a.node.bench.rec.printf("back end %s starts beside %s", id, a.node.name)
	return nil
}

// end ends the incarnation at once, as a crash does.
func (a *backend) end() {
	a.mutex.Lock()
	server := a.server
	a.server = nil
	a.mutex.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

func (a *backend) current() (id string, running bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.id, a.server != nil
}

func (a *backend) beatWhileRunning(id string) {
	for {
		current, running := a.current()
		if !running || current != id {
			return
		}
		a.sendBeat()
		time.Sleep(beatInterval)
	}
}

// sendBeat sends a heartbeat, or holds it back.
func (a *backend) sendBeat() {
	a.mutex.Lock()
	if a.quiet {
		a.mutex.Unlock()
		return
	}
	a.sequence++
	state := "ready"
	if a.draining {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{
		"born": a.born, "address": a.node.address(portApp),
		"info":   map[string]any{"service": a.node.service, "version": "v1", "zone": a.node.zone, "slots": a.slots},
		"status": map[string]any{"state": state, "seq": a.sequence, "cold_remaining": "0ms"},
	})
	built := beat{id: a.id, body: body, state: state, sentAt: time.Now()}
	hold := a.holdFrom > 0 && a.sequence >= a.holdFrom
	if hold {
		a.held = append(a.held, built)
		a.node.bench.rec.printf("%s sends heartbeat %d (%s); it is held up on its way", a.id, a.sequence, state)
	}
	a.mutex.Unlock()
	if !hold {
		a.put(built)
	}
}

// put delivers a heartbeat and returns the status of its answer, 0 for none.
func (a *backend) put(sent beat) int {
	return a.tell(http.MethodPut, sent.id, sent.body)
}

// tell sends a message to the node and returns the status of its answer, 0 for none within a second.
func (a *backend) tell(method, id string, body []byte) int {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(method, "http://"+a.node.address(portControl)+harness.Protocol.InstancesPath+id, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// serve runs a request at an incarnation.
func (a *backend) serve(w http.ResponseWriter, r *http.Request, id string) {
	request := r.Header.Get(harness.Protocol.RequestID)
	w.Header().Set(harness.Protocol.RequestID, request)
	if expected := r.Header.Get(harness.Protocol.Expect); expected != "" && expected != id {
		w.Header().Set(harness.Protocol.Instance, id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if request == "" {
		w.Header().Set(harness.Protocol.NotRun, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if a.handle != nil && a.handle(a, w, r) {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if a.started != nil {
		a.started(a, request, r)
	}
	select {
	case <-time.After(a.work):
	case <-r.Context().Done():
		return
	}
	a.answer(w, request, body)
}

// beginLeaving makes the back end say in its answers and its heartbeats that it leaves.
func (a *backend) beginLeaving() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.leaving, a.draining = true, true
	a.node.bench.rec.printf("%s leaves: its answers and its heartbeats say so", a.id)
}

// answer writes the usual answer.
func (a *backend) answer(w http.ResponseWriter, request string, body []byte) {
	a.mutex.Lock()
	leaving := a.leaving
	a.mutex.Unlock()
	if leaving {
		w.Header().Set(names.Leaving, "1")
	}
	w.Header().Set(harness.Protocol.Seal, sealOf(request))
	_, _ = fmt.Fprintf(w, "%s did %s with %d bytes", a.id, request, len(body))
}

// sealOf returns the signature of the answer to a request.
func sealOf(request string) string { return "seal." + request }
