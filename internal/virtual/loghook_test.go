package virtual

import (
	"encoding/json"
	"sync"

	"github.com/loomcleat/loomcleat/event"
)

// logHook calls a function for each log line of one event, with the node that wrote it.
type logHook struct {
	mutex  sync.Mutex
	number event.Number
	onLine func(node int, line logLine)
}

// logLine is a log line, as far as tests read it.
type logLine struct {
	Event event.Number `json:"event"`
	By    string       `json:"by"`
	// Whether the process reads the store, in event.StoreWatchChanged.
	Watching bool `json:"watching"`
}

// set replaces the function; nil for none.
func (h *logHook) set(number event.Number, onLine func(node int, line logLine)) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.number, h.onLine = number, onLine
}

// logger returns the logger of a node.
func (h *logHook) logger(node int) *event.Logger {
	return event.NewLogger(event.Options{Output: nodeLog{hook: h, node: node}, Level: "info", JSON: true})
}

type nodeLog struct {
	hook *logHook
	node int
}

// Write implements io.Writer.
func (l nodeLog) Write(line []byte) (int, error) {
	var read logLine
	if err := json.Unmarshal(line, &read); err != nil {
		return 0, err
	}
	l.hook.mutex.Lock()
	defer l.hook.mutex.Unlock()
	if l.hook.onLine != nil && read.Event == l.hook.number {
		l.hook.onLine(l.node, read)
	}
	return len(line), nil
}
