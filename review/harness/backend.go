package harness

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Arrival is a request that a back end has read.
type Arrival struct {
	Backend *Backend
	Request *http.Request
	ID      string
	Body    []byte
	Conn    net.Conn // writes must hold Write
	Write   *sync.Mutex
}

// Answer writes an answer to a request.
func (a *Arrival) Answer(status int, header map[string]string, body string) {
	var text bytes.Buffer
	_, _ = fmt.Fprintf(&text, "HTTP/1.1 %d %s\r\n%s: %s\r\n", status, http.StatusText(status), Protocol.RequestID, a.ID)
	for name, value := range header {
		_, _ = fmt.Fprintf(&text, "%s: %s\r\n", name, value)
	}
	_, _ = fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n%s", len(body), body)
	a.Write.Lock()
	defer a.Write.Unlock()
	_, _ = a.Conn.Write(text.Bytes()) // the node may have closed the connection
}

// Backend is a stand-in of a back end: one start is one incarnation.
type Backend struct {
	Machine *Machine
	// Slots that the heartbeats tell.
	Slots int
	// Handle answers a request that may run here. It is called once for each request on a connection, one
	// after the other.
	Handle func(arrival *Arrival)
	Record *Record

	mutex    sync.Mutex
	starts   int
	id       string
	born     int64
	sequence int
	listener net.Listener
	conns    map[net.Conn]bool
	left     bool // no more heartbeats
	// How late the bytes of a heartbeat arrive after its connection was opened.
	lateBy time.Duration
	// Heartbeats that are on their way late.
	inTransit int
}

// DelayHeartbeats makes the heartbeats arrive late from now on.
func (b *Backend) DelayHeartbeats(lateBy time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.lateBy = lateBy
}

// InTransit returns the number of heartbeats that are on their way late.
func (b *Backend) InTransit() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.inTransit
}

// heartbeatInterval is that of the settings.
const heartbeatInterval = 1500 * time.Millisecond

// Start starts an incarnation with an id of its own, and its heartbeats.
func (b *Backend) Start() error {
	listener, err := net.Listen("tcp", b.Machine.App())
	if err != nil {
		return err
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.starts++
	b.id = fmt.Sprintf("i-%s-%d", b.Machine.Name, b.starts)
	b.born, b.sequence, b.left = time.Now().UnixMilli(), 0, false
	b.listener, b.conns = listener, map[net.Conn]bool{}
	go b.accept(listener, b.id)
	go b.sendHeartbeats(b.id)
	return nil
}

// ID returns the id of the present incarnation.
func (b *Backend) ID() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.id
}

// End ends the incarnation at once, with all its connections.
func (b *Backend) End() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.left = true
	if b.listener == nil {
		return
	}
	_ = b.listener.Close()
	b.listener = nil
	for conn := range b.conns {
		_ = conn.Close()
	}
}

// Leave stops the heartbeats.
func (b *Backend) Leave() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.left = true
}

func (b *Backend) accept(listener net.Listener, id string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		b.mutex.Lock()
		b.conns[conn] = true
		b.mutex.Unlock()
		go b.serve(conn, id)
	}
}

// serve serves one request at a time on a connection.
func (b *Backend) serve(conn net.Conn, id string) {
	defer conn.Close()
	reader, write := bufio.NewReader(conn), &sync.Mutex{}
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		arrival := &Arrival{Backend: b, Request: request, ID: request.Header.Get(Protocol.RequestID), Body: body, Conn: conn, Write: write}
		if expected := request.Header.Get(Protocol.Expect); expected != "" && expected != id {
			arrival.Answer(http.StatusMisdirectedRequest, map[string]string{Protocol.Instance: id}, "")
			continue
		}
		b.Handle(arrival)
	}
}

func (b *Backend) sendHeartbeats(id string) {
	for {
		body, ok := b.heartbeat(id)
		if !ok {
			return
		}
		b.mutex.Lock()
		lateBy := b.lateBy
		b.mutex.Unlock()
		if lateBy > 0 {
			go b.deliverLate(id, body, lateBy)
		} else if _, err := b.call(http.MethodPut, id, body); err != nil {
			b.Record.Line("heartbeat of %s is lost: %v", id, err)
		}
		time.Sleep(heartbeatInterval)
	}
}

// deliverLate delivers a heartbeat whose bytes arrive late on a connection that is opened now.
func (b *Backend) deliverLate(id string, body []byte, lateBy time.Duration) {
	conn, err := net.Dial("tcp", b.Machine.ControlAddress())
	if err != nil {
		b.Record.Line("heartbeat of %s is lost: %v", id, err)
		return
	}
	defer conn.Close()
	b.Record.Line("heartbeat of %s is sent and will be late: %s", id, body)
	b.changeTransit(1)
	time.Sleep(lateBy)
	b.changeTransit(-1)
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	_, _ = fmt.Fprintf(conn, "PUT %s%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		Protocol.InstancesPath, id, b.Machine.ControlAddress(), len(body), body)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		b.Record.Line("late heartbeat of %s gets no answer: %v", id, err)
		return
	}
	b.Record.Line("late heartbeat of %s arrives, answer %d", id, response.StatusCode)
}

func (b *Backend) changeTransit(by int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.inTransit += by
}

// heartbeat returns the next heartbeat of an incarnation, false if it sends none any more.
func (b *Backend) heartbeat(id string) ([]byte, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.left || b.id != id {
		return nil, false
	}
	b.sequence++
	body, err := json.Marshal(map[string]any{
		"born":    b.born,
		"address": b.Machine.App(),
		"info":    map[string]any{"service": b.Machine.Service, "version": "v1", "zone": "hall-a", "slots": b.Slots},
		"status":  map[string]any{"state": "ready", "seq": b.sequence, "cold_remaining": "0ms"},
	})
	return body, err == nil
}

// Deregister tells the node that the incarnation leaves, and returns the status of its answer.
func (b *Backend) Deregister() (int, error) {
	b.mutex.Lock()
	id, born := b.id, b.born
	b.mutex.Unlock()
	return b.call(http.MethodDelete, id, fmt.Appendf(nil, `{"born":%d}`, born))
}

func (b *Backend) call(method, id string, body []byte) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+b.Machine.ControlAddress()+Protocol.InstancesPath+id, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
