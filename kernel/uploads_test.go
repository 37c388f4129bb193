package kernel

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/loomcleat/loomcleat/result"
)

// Random uploads.
const (
	uploadClients  = 16
	uploadRequests = 12 // of each client
	longestUpload  = 300 << 10
)

// randomAnswer answers a call at a random moment: before, while or after its body is read, by an answer or an
// error.
func randomAnswer(random *rand.Rand) earlyAnswer {
	moment, refuses, pause := random.IntN(4), random.IntN(2) == 0, time.Duration(random.IntN(15))*time.Millisecond
	return func(call *Call) (*Answer, error) {
		body, _ := call.Body.Open()
		switch moment {
		case 0: // before
		case 1: // after a part
			_, _ = io.CopyN(io.Discard, body, 1000)
		case 2: // while another goroutine reads
			go func() { _, _ = io.Copy(io.Discard, body) }()
			time.Sleep(pause)
		default: // after all
			if _, err := io.Copy(io.Discard, body); err != nil {
				return nil, result.Wrap(result.ConnectionLost, err, "the body broke off")
			}
		}
		if refuses {
			return nil, result.New(result.Overloaded, "no capacity")
		}
		answer := textAnswer(http.StatusOK, strings.Repeat("x", 1+int(call.Body.length&0xfff)))
		answer.Header.Set("Answers", call.URL.Query().Get("number"))
		return answer, nil
	}
}

// uploader sends requests one after the other on connections that it keeps as long as it may.
type uploader struct {
	t      *testing.T
	server *earlyServer
	random *rand.Rand
	conn   net.Conn
	reader *bufio.Reader
}

// send sends one request, whose body holds the text of another, and checks that the answer is its own.
func (u *uploader) send(number int) {
	if u.conn == nil {
		u.conn = dialEarly(u.t, u.server)
		u.reader = bufio.NewReader(u.conn)
	}
	frame := framedBodies[[]string{"length", "chunks"}[u.random.IntN(2)]]
	field, framed := frame(bodyWithRequest(len(smuggledRequest) + u.random.IntN(longestUpload)))
	text := fmt.Sprintf("POST /early?number=%d HTTP/1.1\r\nHost: h\r\n%s\r\n\r\n%s", number, field, framed)
	piece, pause := 1+u.random.IntN(len(text)), time.Duration(u.random.IntN(30))*time.Millisecond
	written := make(chan error, 1)
	go func(conn net.Conn) { written <- writeInPieces(conn, text, max(piece, len(text)/8), pause) }(u.conn)
	if u.random.IntN(2) == 0 {
		if err := <-written; err != nil {
			u.t.Errorf("request %d could not be written: %v", number, err)
		}
		written <- nil
	}
	response, err := http.ReadResponse(u.reader, nil)
	if err != nil {
		u.t.Errorf("no answer to request %d: %v", number, err)
		u.drop()
		return
	}
	if _, err := io.ReadAll(response.Body); err != nil {
		u.t.Errorf("the answer to request %d is not whole: %v", number, err)
	}
	if answers := response.Header.Get("Answers"); answers != "" && answers != fmt.Sprint(number) {
		u.t.Errorf("request %d got the answer to %s", number, answers)
	}
	if response.Close {
		u.drop()
		<-written
		return
	}
	if err := <-written; err != nil {
		u.t.Errorf("request %d broke off on a connection that is kept: %v", number, err)
	}
}

func (u *uploader) drop() {
	_ = u.conn.Close()
	u.conn = nil
}

// TestRandomUploads guards against requests in bodies that are served, answers to other requests, and answers that
// are lost, whenever the answer comes and however the body is written.
func TestRandomUploads(t *testing.T) {
	for client := range uint64(uploadClients) {
		t.Run(fmt.Sprint("seed ", client), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(client, 1))
			server := startEarlyServer(t, func(call *Call) (*Answer, error) { return randomAnswer(random)(call) }, 0)
			u := &uploader{t: t, server: server, random: rand.New(rand.NewPCG(client, 2))}
			for number := range uploadRequests {
				u.send(number)
			}
			if unexpected := server.unexpected(); len(unexpected) > 0 {
				t.Errorf("served %d requests that no client has sent, the first one %.80q", len(unexpected), unexpected[0])
			}
		})
	}
}
