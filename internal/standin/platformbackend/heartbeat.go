package platformbackend

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// pathHeartbeat is the path of heartbeats at the node. The id of the incarnation follows.
const pathHeartbeat = "/-/instances/"

// sendHeartbeats sends heartbeats while the incarnation runs.
func (b *Backend) sendHeartbeats(incarnation string) {
	for b.isRunning(incarnation) {
		b.sendHeartbeat(incarnation)
		time.Sleep(b.config.HeartbeatInterval)
	}
}

func (b *Backend) isRunning(incarnation string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.server != nil && b.incarnation == incarnation && !b.deregistered
}

// heartbeat is the body of a heartbeat.
type heartbeat struct {
	Born    int64           `json:"born"`
	Address string          `json:"address"`
	Info    heartbeatInfo   `json:"info"`
	Status  heartbeatStatus `json:"status"`
}

type heartbeatInfo struct {
	Service string `json:"service"`
	Version string `json:"version"`
	Zone    string `json:"zone"`
	Slots   int    `json:"slots"`
}

type heartbeatStatus struct {
	State    string `json:"state"`
	Sequence int    `json:"seq"`
	Cold     string `json:"cold_remaining"`
}

// sendHeartbeat sends a heartbeat and reports whether the node acknowledged it. One that is late is not
// waited for and counts as not acknowledged.
func (b *Backend) sendHeartbeat(incarnation string) bool {
	b.mutex.Lock()
	if b.incarnation != incarnation {
		b.mutex.Unlock()
		return false
	}
	b.sequence++
	state := "ready"
	if b.draining {
		state = "draining"
	}
	id, delay := b.id, b.heartbeatDelay
	body, err := json.Marshal(heartbeat{
		Born:    b.born,
		Address: b.config.Address,
		Info:    heartbeatInfo{Service: b.config.Service, Version: "v1", Zone: "z", Slots: b.config.Slots},
		Status:  heartbeatStatus{State: state, Sequence: b.sequence, Cold: "0ms"},
	})
	b.mutex.Unlock()
	if err != nil {
		return false
	}
	if delay > 0 {
		time.AfterFunc(delay, func() { b.callNode(http.MethodPut, id, string(body)) })
		return false
	}
	return b.callNode(http.MethodPut, id, string(body))
}

// deregister announces that the incarnation leaves and reports whether the node acknowledged that.
func (b *Backend) deregister() bool {
	b.mutex.Lock()
	id, born := b.id, b.born
	b.mutex.Unlock()
	return b.callNode(http.MethodDelete, id, fmt.Sprintf(`{"born":%d}`, born))
}

// SendForeign sends a message of another writer to the node in place of a heartbeat and returns the HTTP
// status, 0 for no response.
func (b *Backend) SendForeign(body string) int {
	return b.request(http.MethodPut, "i-foreign", body)
}

// heartbeatTimeout is the time limit for the acknowledgement of a heartbeat.
const heartbeatTimeout = time.Second

// callNode sends a message about a back end to the node and reports whether it was acknowledged.
func (b *Backend) callNode(method, id, body string) bool {
	status := b.request(method, id, body)
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// request sends a message about a back end to the node and returns the HTTP status, 0 for no response.
func (b *Backend) request(method, id, body string) int {
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+b.config.HeartbeatAddress+pathHeartbeat+id, strings.NewReader(body))
	if err != nil {
		return 0
	}
	response, err := b.client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}
