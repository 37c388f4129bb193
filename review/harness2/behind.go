package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/loomcleat/loomcleat/review/harness"
)

// Doses of the case "behind": a back end of two breaks off one in twenty of its answers.
const (
	breakOneIn     = 20
	largeAnswer    = 100_000 // bytes
	sentTogether   = 6
	rowPause       = 100 * time.Millisecond
	behindClients  = 4
	behindFor      = 20 * time.Second
	behindDeadline = 5 * time.Second
	mayCloseAtMost = 3
	behindWork     = 40 * time.Millisecond
)

const historyConfiguration = `{"version":7,"services":[{"name":"keeper","health_path":"/health","max_connections":622},` +
	`{"name":"lookup","health_path":"/health","max_connections":622}],` +
	`"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"},` +
	`"hosts":[{"host":"register.example","paths":[{"name":"r-history","path_prefix":"/history/","type":"safe","timeout":"5000ms",` +
	`"target_latency":"1500ms","priority":2,"service":"keeper","max_attempts":2}]}]}`

// behind sends several safe requests on a connection before the first is answered. A faulty back end breaks
// off some of its answers. A request that was passed on to the sound back end must get its answer.
func behind(b *bench, trouble bool) (bool, error) {
	if err := addKeepers(b); err != nil {
		return false, err
	}
	b.configure(historyConfiguration)
	var mutex sync.Mutex
	ranSound := map[string]bool{} // requests that the sound back end has begun to run, and whether it answered whole
	answers, broken := 0, 0
	faulty, sound := b.backends[0], b.backends[1]
	answerLarge := func(app *backend, w http.ResponseWriter, r *http.Request) bool {
		id := r.Header.Get(harness.Protocol.RequestID)
		mutex.Lock()
		if app == sound {
			ranSound[id] = false
		} else {
			answers++
		}
		breaks := trouble && app == faulty && answers%breakOneIn == 0
		if breaks {
			broken++
		}
		mutex.Unlock()
		time.Sleep(behindWork)
		w.Header().Set(harness.Protocol.Seal, sealOf(id))
		w.Header().Set("Content-Length", strconv.Itoa(largeAnswer))
		text := strings.Repeat("h", largeAnswer)
		if breaks {
			b.rec.printf("%s breaks off its answer to %s", app.id, id)
			_, _ = io.WriteString(w, text[:largeAnswer*9/10])
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		_, err := io.WriteString(w, text)
		if app == sound && err == nil {
			mutex.Lock()
			ranSound[id] = true
			mutex.Unlock()
		}
		return true
	}
	faulty.handle, sound.handle = answerLarge, answerLarge
	if err := b.startAll(); err != nil {
		return false, err
	}
	time.Sleep(trafficAfter)
	lost, lostWhole, rows := 0, 0, 0
	end := time.Now().Add(behindFor)
	var clients sync.WaitGroup
	for number := range behindClients {
		clients.Go(func() {
			row := 0
			for time.Now().Before(end) {
				conn, err := net.Dial("tcp", b.nodes[2].address(portOutbound))
				if err != nil {
					time.Sleep(rowPause)
					continue
				}
				reader := bufio.NewReader(conn)
				for open := true; open && time.Now().Before(end); row++ {
					unanswered := sendRow(b, conn, reader, fmt.Sprintf("c%d-%d-", number, row))
					mutex.Lock()
					rows++
					for i, id := range unanswered {
						whole, ran := ranSound[id]
						if i == 0 || !ran {
							continue // the answer that broke off itself, or not passed on to the sound back end
						}
						lost++
						if whole {
							lostWhole++
						}
						b.rec.printf("LOST: %s, which the sound back end ran (answered whole: %t)", id, whole)
					}
					mutex.Unlock()
					open = len(unanswered) == 0
					time.Sleep(rowPause)
				}
				_ = conn.Close()
			}
		})
	}
	clients.Wait()
	mutex.Lock()
	defer mutex.Unlock()
	b.rec.printf("rows of %d requests: %d; answers broken off by the faulty back end: %d; requests behind them that the sound back end ran and whose connection was closed without an answer: %d, of which it had answered %d whole",
		sentTogether, rows, broken, lost, lostWhole)
	return lost > mayCloseAtMost, nil
}

// sendRow sends a row of requests on a connection and reads their answers. It returns those without a complete
// answer, in their order, once the connection has ended.
func sendRow(b *bench, conn net.Conn, reader *bufio.Reader, prefix string) (unanswered []string) {
	var text strings.Builder
	ids := []string{}
	for i := range sentTogether {
		id := fmt.Sprintf("%s%d", prefix, i)
		ids = append(ids, id)
		text.WriteString(requestHead(http.MethodGet, "/history/"+id, "register.example", id, behindDeadline, ""))
	}
	if _, err := io.WriteString(conn, text.String()); err != nil {
		return ids
	}
	_ = conn.SetReadDeadline(time.Now().Add(behindDeadline + time.Second))
	for i, id := range ids {
		response, err := http.ReadResponse(reader, nil)
		read := int64(0)
		if err == nil {
			read, err = io.Copy(io.Discard, response.Body)
		}
		if err != nil {
			b.rec.printf("client: %s gets no complete answer (%d bytes): %v", id, read, err)
			return ids[i:]
		}
		b.rec.printf("client: %s gets %d", id, response.StatusCode)
		if response.Close {
			return ids[i+1:]
		}
	}
	return nil
}
