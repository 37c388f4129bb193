package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// Heads of the answers of a back end that stops within them. Common stands for the fields that each answer needs.
var cutAnswerHeads = map[string]string{
	"until close":      "HTTP/1.1 200 OK\r\nCommonX-Response-Seal: s\r\n\r\n",
	"empty":            "HTTP/1.1 200 OK\r\nCommonContent-Length: 0\r\n\r\n",
	"length":           "HTTP/1.1 200 OK\r\nCommonContent-Length: 12\r\n\r\n",
	"chunks":           "HTTP/1.1 200 OK\r\nCommonTransfer-Encoding: chunked\r\n\r\n",
	"after an interim": "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nCommonX-Response-Seal: s\r\n\r\n",
}

// Fields of a request that tell the back end what to send and where to stop.
const (
	fieldHead = "Cut-Head"
	fieldLeft = "Cut-Left" // bytes of the head that are not sent
	fieldEnd  = "Cut-End"
)

// cutAnswerEnds are the ways in which the back end ends the connection.
var cutAnswerEnds = map[string]func(*net.TCPConn){
	"close": func(*net.TCPConn) {}, // the server of the test closes it
	"half-close": func(conn *net.TCPConn) {
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
	},
	"reset": func(conn *net.TCPConn) {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	},
}

// cuttingBackEnd stops within the heads of its answers.
type cuttingBackEnd struct {
	cuts atomic.Int64
}

// serve implements rawBackEnd.
func (b *cuttingBackEnd) serve(conn *net.TCPConn, request *http.Request, common string) {
	template, asked := cutAnswerHeads[request.Header.Get(fieldHead)]
	if !asked {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+common+"Content-Length: 5\r\n\r\nsound")
		return
	}
	b.cuts.Add(1)
	head := strings.Replace(template, "Common", common, 1)
	left, _ := strconv.Atoi(request.Header.Get(fieldLeft))
	_, _ = io.WriteString(conn, head[:len(head)-left])
	cutAnswerEnds[request.Header.Get(fieldEnd)](conn)
}

// cutRequest returns the text of a request to a back end that stops a number of bytes before the end of a head.
func cutRequest(path, head, end string, left int) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: cut%d\r\nX-Deadline-Remaining: 5000\r\n%s: %s\r\n%s: %s\r\n%s: %d\r\n\r\n",
		path, attemptCount.Add(1), fieldHead, head, fieldEnd, end, fieldLeft, left)
}

// leftOfHeads are the numbers of bytes of a head that are not sent: each of the last ones, and some before.
var leftOfHeads = []int{1, 2, 3, 4, 5, 9, 20, 40, 70}

// TestCutHeadReachesCallerAsFailure guards against a caller that gets a part of a head as a whole answer with an
// empty content, by both hops.
func TestCutHeadReachesCallerAsFailure(t *testing.T) {
	backEnd := &cuttingBackEnd{}
	entry, deep := startRawMesh(t, backEnd.serve)
	for hop, node := range map[string]*platformNode{"by another node": entry, "by the node of the back end": deep} {
		for head := range cutAnswerHeads {
			for end := range cutAnswerEnds {
				t.Run(hop+", "+head+", "+end, func(t *testing.T) {
					is := is.New(t)
					before := backEnd.cuts.Load()
					for _, left := range leftOfHeads {
						conn := node.dial(t)
						_, err := io.WriteString(conn, cutRequest("/deep/x", head, end, left))
						is.NoErr(err)
						response, err := http.ReadResponse(bufio.NewReader(conn), nil)
						is.NoErr(err) // an error of loomcleat
						is.True(response.StatusCode >= http.StatusInternalServerError)
						_ = conn.Close()
					}
					is.True(backEnd.cuts.Load() > before) // not all were refused
				})
			}
		}
	}
}

// TestCutHeadAmongPipelined guards against a part of a head that is passed on as an answer among those of
// pipelined requests, or that changes their order.
func TestCutHeadAmongPipelined(t *testing.T) {
	backEnd := &cuttingBackEnd{}
	front := startFrontBeside(t, backEnd.serve)
	for head := range cutAnswerHeads {
		for end := range cutAnswerEnds {
			t.Run(head+", "+end, func(t *testing.T) {
				is := is.New(t)
				for _, left := range leftOfHeads {
					conn := front.dial(t)
					sound := func() string { return cutRequest("/front/x", "", "", 0) }
					_, err := io.WriteString(conn, sound()+cutRequest("/front/x", head, end, left)+sound())
					is.NoErr(err)
					reader := bufio.NewReader(conn)
					for i := range 3 {
						response, err := http.ReadResponse(reader, nil)
						is.NoErr(err)
						body, err := io.ReadAll(response.Body)
						is.NoErr(err)
						isSound := response.StatusCode == http.StatusOK && string(body) == "sound"
						is.True(isSound || response.StatusCode >= http.StatusInternalServerError)
						is.True(!isSound || i != 1) // the second one has no answer
					}
					_ = conn.Close()
				}
			})
		}
	}
	is.New(t).True(backEnd.cuts.Load() > 0)
}
