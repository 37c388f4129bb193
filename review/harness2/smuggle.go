package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/loomcleat/loomcleat/review/harness"
)

// Doses of the case "smuggle": a back end of two rejects one in twenty of its long requests early.
const (
	uploads        = 80
	uploadPause    = 100 * time.Millisecond
	uploadBytes    = 1200 << 10
	rejectOneIn    = 20
	uploadDeadline = 6 * time.Second
	// A client sends 64 KB every 2 ms, 32 MB a second.
	pieceBytes = 64 << 10
	piecePause = 2 * time.Millisecond
)

const keeperConfiguration = `{"version":7,"services":[{"name":"keeper","health_path":"/health","max_connections":622},` +
	`{"name":"lookup","health_path":"/health","max_connections":622}],` +
	`"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"},` +
	`"hosts":[{"host":"register.example","paths":[{"name":"r-keep","path_prefix":"/keep/","type":"unsafe","timeout":"6000ms",` +
	`"target_latency":"1500ms","priority":0,"service":"keeper","max_attempts":2}]}]}`

// sentRequests are the ids that clients have sent.
type sentRequests struct {
	mutex sync.Mutex
	ids   map[string]bool
}

func (s *sentRequests) add(id string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.ids == nil {
		s.ids = map[string]bool{}
	}
	s.ids[id] = true
}

func (s *sentRequests) has(id string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.ids[id]
}

// smuggle sends long requests, whose content holds the text of another request, on a kept connection. Some
// are rejected by a back end before they are in. Nothing but what the client sent as a request may run.
func smuggle(b *bench, trouble bool) (bool, error) {
	if err := addKeepers(b); err != nil {
		return false, err
	}
	var sent sentRequests
	var mutex sync.Mutex
	foreignRuns, rejected := 0, 0
	for i, app := range b.backends[:2] {
		arrived := 0
		app.started = func(app *backend, id string, r *http.Request) {
			if sent.has(id) && r.Method == http.MethodPost {
				b.rec.printf("%s runs %s %s %s", app.id, id, r.Method, r.URL)
				return
			}
			b.rec.printf("%s RUNS WHAT NO CLIENT SENT: id %s, method %.20s.. of %d bytes, path %s", app.id, id, r.Method, len(r.Method), r.URL)
			mutex.Lock()
			foreignRuns++
			mutex.Unlock()
		}
		app.handle = func(app *backend, w http.ResponseWriter, r *http.Request) bool {
			mutex.Lock()
			arrived++
			rejects := trouble && i == 0 && arrived%rejectOneIn == 0 && r.ContentLength > 0
			if rejects {
				rejected++
			}
			mutex.Unlock()
			if rejects {
				rejectEarly(app, w, r)
			}
			return rejects
		}
	}
	if err := b.startAll(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	foreignAnswers := sendUploads(b, b.nodes[2], &sent)
	time.Sleep(time.Second)
	mutex.Lock()
	defer mutex.Unlock()
	b.rec.printf("uploads %d, rejected early %d, runs of requests that no client sent %d, answers to no request of the client %d",
		uploads, rejected, foreignRuns, foreignAnswers)
	return foreignRuns > 0, nil
}

// addKeepers adds two machines of the service keeper and one of the service lookup.
func addKeepers(b *bench) error {
	for _, m := range []struct{ service, zone string }{{"keeper", "a"}, {"keeper", "b"}, {"lookup", "c"}} {
		n, err := b.addNode(m.service, m.zone)
		if err != nil {
			return err
		}
		b.addBackend(n, 20*time.Millisecond, 100)
	}
	b.configure(keeperConfiguration)
	return nil
}

// rejectEarly answers a long request before it has read it, keeps the connection, and reads the rest later.
func rejectEarly(app *backend, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(harness.Protocol.RequestID)
	app.node.bench.rec.printf("%s rejects %s early, with 413", app.id, id)
	controller := http.NewResponseController(w)
	_ = controller.EnableFullDuplex()
	w.Header().Set(harness.Protocol.Seal, sealOf(id))
	w.Header().Set("Content-Length", "8")
	w.WriteHeader(http.StatusRequestEntityTooLarge)
	_, _ = io.WriteString(w, "too long")
	_ = controller.Flush()
	time.Sleep(50 * time.Millisecond)
	_, _ = io.Copy(io.Discard, r.Body)
}

// uploadBody returns the content of an upload: a long word, and in every second one the text of a request
// behind it.
func uploadBody(number int) string {
	if number%2 == 1 {
		return strings.Repeat("5ca1ab1e", uploadBytes/8)
	}
	inner := requestHead(http.MethodPost, fmt.Sprintf("/keep/inner-%d", number), "register.example", fmt.Sprintf("inner%d", number), 5*time.Second, "Content-Length: 0\r\n")
	return strings.Repeat("x", uploadBytes-len(inner)) + inner
}

// sendUploads sends the uploads at a machine and returns the number of answers that are not to the request
// of the client that was waiting.
func sendUploads(b *bench, at *node, sent *sentRequests) (foreign int) {
	var conn net.Conn
	var reader *bufio.Reader
	for number := range uploads {
		time.Sleep(uploadPause)
		if conn == nil {
			opened, err := net.Dial("tcp", at.address(portOutbound))
			if err != nil {
				b.rec.printf("client cannot connect: %v", err)
				continue
			}
			conn, reader = opened, bufio.NewReader(opened)
		}
		id := fmt.Sprintf("upload%d", number)
		sent.add(id)
		written := make(chan error, 1)
		go func(conn net.Conn) {
			head := requestHead(http.MethodPost, fmt.Sprintf("/keep/%d", number), "register.example", id, uploadDeadline, fmt.Sprintf("Content-Length: %d\r\n", uploadBytes))
			written <- sendInPieces(conn, head+uploadBody(number))
		}(conn)
		_ = conn.SetReadDeadline(time.Now().Add(uploadDeadline))
		keep, own := readAnswer(b, reader, id)
		if !own {
			foreign++
		}
		if err := <-written; err != nil || !keep {
			_ = conn.Close()
			conn = nil
		}
	}
	if conn != nil {
		_ = conn.Close()
	}
	return foreign
}

// sendInPieces sends a request at the speed of a link.
func sendInPieces(conn net.Conn, text string) error {
	for len(text) > 0 {
		n := min(pieceBytes, len(text))
		if _, err := io.WriteString(conn, text[:n]); err != nil {
			return err
		}
		text = text[n:]
		time.Sleep(piecePause)
	}
	return nil
}

// readAnswer reads the answer to a request. It reports whether the connection can be kept, and whether the
// answer is one to the request, or none.
func readAnswer(b *bench, reader *bufio.Reader, id string) (keep, own bool) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		b.rec.printf("client: no answer to %s: %v", id, err)
		return false, true
	}
	text, err := io.ReadAll(response.Body)
	answered := response.Header.Get(harness.Protocol.RequestID)
	own = answered == id || (answered == "" && response.Header.Get(harness.Protocol.Seal) == "" && response.StatusCode >= http.StatusInternalServerError)
	note := ""
	if !own {
		note = " NOT ITS OWN"
	}
	b.rec.printf("client: %s gets %d%s (id %q, seal %q, close %t): %.80q", id, response.StatusCode, note, answered, response.Header.Get(harness.Protocol.Seal), response.Close, text)
	return err == nil && !response.Close, own
}
