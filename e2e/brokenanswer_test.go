package e2e

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/internal/standin/metastore"
	"github.com/loomcleat/loomcleat/internal/standin/rawserver"
	"github.com/loomcleat/loomcleat/result"
)

// uploadLength is more than the buffers of all connections on the way hold, in bytes.
const uploadLength = 32 << 20

// rawBackEnd serves the only request of a connection with bytes of its own choice. common holds the
// fields that each answer needs.
type rawBackEnd func(conn *net.TCPConn, request *http.Request, common string)

// startRawBackEnd starts a back end and returns its address.
func startRawBackEnd(t *testing.T, serve rawBackEnd) string {
	t.Helper()
	return rawserver.Start(t, func(conn *net.TCPConn, request *http.Request) bool {
		serve(conn, request, "X-Attempt-Id: "+request.Header.Get("X-Attempt-Id")+"\r\nConnection: close\r\n")
		return false
	})
}

// startRawMesh starts a node beside a raw back end of the service deep, and an entry to it, which is
// the node of another service.
func startRawMesh(t *testing.T, serve rawBackEnd) (entry, deep *platformNode) {
	t.Helper()
	return startNodesBeside(t, func(conn *net.TCPConn, request *http.Request) bool {
		serve(conn, request, "X-Attempt-Id: "+request.Header.Get("X-Attempt-Id")+"\r\nConnection: close\r\n")
		return false
	})
}

// startNodesBeside starts a node beside a back end of the service deep, and an entry to it, which is the node
// of another service and has the extra settings.
func startNodesBeside(t *testing.T, answer rawserver.Answer, extraSettings ...string) (entry, deep *platformNode) {
	t.Helper()
	stub := metastore.NewServer()
	store := httptest.NewServer(stub.Handler())
	t.Cleanup(store.Close)
	stub.Put("op/config", platformConfiguration(3, "front"))
	deep = newPlatformNode(t, "deep")
	deep.slots = 64
	deep.startWithBackEnd(t, store.URL, rawserver.Start(t, answer))
	entry = startPlatformNode(t, store.URL, "front", extraSettings...)
	entry.awaitReady(t)
	deep.awaitReady(t)
	eventually(t, "the entry to know the node", func() bool {
		return entry.get("/deep/x", "").status != http.StatusServiceUnavailable
	})
	return entry, deep
}

// upload sends a long request to the address for callers and returns the status and the body of the
// answer, and the error with which the connection or the body ended.
func (n *platformNode) upload(t *testing.T, version, path string, length int64) (status int, body []byte, err error) {
	t.Helper()
	conn := n.dial(t)
	defer conn.Close()
	request := fmt.Sprintf("POST %s HTTP/%s\r\nHost: shop.example\r\nX-Attempt-Id: upload%d\r\nX-Deadline-Remaining: 5000\r\nContent-Length: %d\r\n\r\n",
		path, version, attemptCount.Add(1), length)
	written := make(chan error, 1)
	go func() {
		_, err := io.Copy(conn, io.MultiReader(strings.NewReader(request), io.LimitReader(zeros{}, length)))
		written <- err
	}()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, nil, err
	}
	body, err = io.ReadAll(response.Body)
	if err == nil && version == "1.0" {
		err = <-written // the system tells a reset to the reader or to the writer, not to both
	}
	return response.StatusCode, body, err
}

// zeros is an endless source of bytes.
type zeros struct{}

func (zeros) Read(data []byte) (int, error) {
	clear(data)
	return len(data), nil
}

// brokenUploads is the number of uploads of each kind. Which process first learns of a reset is a race.
const brokenUploads = 15

// TestResetDuringUploadReachesCaller guards against a caller that takes a part of an answer without
// a length for the whole, since the back end reset the connection while the upload was being written.
func TestResetDuringUploadReachesCaller(t *testing.T) {
	sizes := []int{1, 3000, 100 << 10}
	var served atomic.Int64
	entry, deep := startRawMesh(t, func(conn *net.TCPConn, request *http.Request, common string) {
		if request.ContentLength <= 0 {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Length: 0\r\n\r\n", common)
			return
		}
		_, _ = io.CopyN(io.Discard, request.Body, 64<<10)
		number := int(served.Add(1))
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s\r\n%s", common, strings.Repeat("x", sizes[number%len(sizes)]))
		time.Sleep(time.Duration(number%2) * 5 * time.Millisecond)
		_ = conn.SetLinger(0)
		_ = conn.Close()
	})
	for name, node := range map[string]*platformNode{"by another node": entry, "by the node of the back end": deep} {
		for _, version := range []string{"1.1", "1.0"} {
			t.Run(name+", HTTP/"+version, func(t *testing.T) {
				for range brokenUploads {
					status, body, err := node.upload(t, version, "/deep/x", uploadLength)
					if err == nil && status == http.StatusOK {
						t.Fatalf("the caller got %d bytes as a complete answer", len(body))
					}
				}
			})
		}
	}
}

// TestTruncatedAnswerReachesHTTP10Caller guards against a caller whose version has no other end of an
// answer than that of the connection: an answer that breaks off must not end as a whole one does.
func TestTruncatedAnswerReachesHTTP10Caller(t *testing.T) {
	is := is.New(t)
	entry, deep := startRawMesh(t, func(conn *net.TCPConn, request *http.Request, common string) {
		_, _ = io.Copy(io.Discard, request.Body)
		if request.ContentLength == 0 {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Length: 0\r\n\r\n", common)
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", common)
	})
	for _, node := range []*platformNode{entry, deep} {
		for range brokenUploads {
			status, _, err := node.upload(t, "1.0", "/deep/x", 10)
			is.True(err != nil || status != http.StatusOK)
		}
	}
}

// TestEarlyAnswerWithoutLengthReachesCaller guards against refusing or truncating a whole answer
// without a length whose back end reads the rest of the upload, and against truncating the upload.
func TestEarlyAnswerWithoutLengthReachesCaller(t *testing.T) {
	is := is.New(t)
	const answerLength = 300_000
	uploaded := make(chan int64, 1)
	entry, deep := startRawMesh(t, func(conn *net.TCPConn, request *http.Request, common string) {
		if request.ContentLength <= 0 {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Length: 0\r\n\r\n", common)
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s\r\n%s", common, strings.Repeat("x", answerLength))
		_ = conn.CloseWrite()
		n, err := io.Copy(io.Discard, request.Body)
		if err != nil && !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Error(err)
		}
		uploaded <- n
	})
	for _, node := range []*platformNode{entry, deep} {
		for _, version := range []string{"1.1", "1.0"} {
			status, body, err := node.upload(t, version, "/deep/x", uploadLength)
			is.NoErr(err)
			is.Equal(status, http.StatusOK)
			is.Equal(len(body), answerLength)
			is.Equal(<-uploaded, int64(uploadLength))
		}
	}
}

// startScriptedMesh starts a raw mesh whose back end answers with the text in the header Answer of a
// request, in which %ID stands for the common fields, and then closes the connection.
func startScriptedMesh(t *testing.T) (entry, deep *platformNode) {
	t.Helper()
	return startRawMesh(t, serveScript)
}

// serveScript is a rawBackEnd that answers as the request asks for.
func serveScript(conn *net.TCPConn, request *http.Request, common string) {
	script, err := strconv.Unquote(request.Header.Get("Answer"))
	if err != nil {
		script = "HTTP/1.1 200 OK\r\n%IDContent-Length: 0\r\n\r\n"
	}
	_, _ = io.Copy(io.Discard, request.Body)
	_, _ = io.WriteString(conn, strings.ReplaceAll(script, "%ID", common))
}

// sendScript sends a request that the back end answers with a script. It returns the answer with its
// body, or the error with which the answer or its body ended.
func (n *platformNode) sendScript(t *testing.T, script string) (*http.Response, string, error) {
	t.Helper()
	conn := n.dial(t)
	defer conn.Close()
	_, err := fmt.Fprintf(conn, "GET /deep/x HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: script%d\r\nX-Deadline-Remaining: 5000\r\nAnswer: %s\r\n\r\n",
		attemptCount.Add(1), strconv.Quote(script))
	is.New(t).NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

// TestInvalidAnswerDoesNotReachCaller guards against passing on bytes that are no HTTP answer. The
// caller gets an error of loomcleat instead, and the log names what was wrong.
func TestInvalidAnswerDoesNotReachCaller(t *testing.T) {
	cases := []struct{ name, script, logged string }{
		{"status 000", "HTTP/1.1 000 Unknown\r\n%IDContent-Length: 5\r\n\r\nwrong", "status 000"},
		{"status above 599", "HTTP/1.1 777 Unknown\r\n%IDContent-Length: 5\r\n\r\nwrong", "status 777"},
		{"other version", "HTTP/2.0 200 OK\r\n%IDContent-Length: 5\r\n\r\nwrong", "no version 1.x"},
		{"switched protocol", "HTTP/1.1 101 Switching\r\n%IDUpgrade: x\r\n\r\nwrong", "protocol is switched"},
		{"blank in a name", "HTTP/1.1 200 OK\r\n%IDX Y: 1\r\nContent-Length: 5\r\n\r\nwrong", `in the name \"X Y\"`},
		{"blank behind a name", "HTTP/1.1 200 OK\r\n%IDContent-Length : 5\r\n\r\nwrong and more", `in the name \"Content-Length \"`},
		{"blank before a name", "HTTP/1.1 200 OK\r\n%ID Content-Length: 5\r\n\r\nwrong and more", `in the name \" Content-Length\"`},
		{"control byte in a name", "HTTP/1.1 200 OK\r\n%IDX\x01Y: 1\r\nContent-Length: 5\r\n\r\nwrong", "byte 0x01 in the name"},
		{"control byte in a value", "HTTP/1.1 200 OK\r\n%IDX-Y: 1\x01\r\nContent-Length: 5\r\n\r\nwrong", "byte 0x01 in the value"},
		{"two lengths", "HTTP/1.1 200 OK\r\n%IDContent-Length: 5\r\nContent-Length: 7\r\n\r\nwrong..", "Content-Length twice"},
		{"a length and chunks", "HTTP/1.1 200 OK\r\n%IDContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n", "both Transfer-Encoding"},
		{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\n%IDTransfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n", "in HTTP/1.0"},
		{"content without a place", "HTTP/1.1 204 No Content\r\n%IDContent-Length: 5\r\n\r\nwrong", "content with status 204"},
	}
	entry, deep := startScriptedMesh(t)
	for _, c := range cases {
		for _, node := range []*platformNode{entry, deep} {
			t.Run(c.name+" by "+node.service, func(t *testing.T) {
				is := is.New(t)
				response, body, err := node.sendScript(t, c.script)
				is.NoErr(err)
				is.Equal(response.StatusCode, http.StatusBadGateway)
				is.Equal(response.Header.Get(result.HeaderCode), strconv.Itoa(int(result.AnswerInvalid)))
				is.Equal(response.Header.Get(result.HeaderOutcome), result.OutcomeUnknown)
				is.True(!strings.Contains(body, "wrong"))
				eventually(t, "the log line", func() bool {
					return strings.Contains(strings.ReplaceAll(deep.log.String(), `\\"`, `\"`), c.logged)
				})
			})
		}
	}
	response, _, err := entry.sendScript(t, "HTTP/1.1 200 OK\r\n%IDContent-Length: 5\r\n\r\nsound")
	is.New(t).NoErr(err)
	is.New(t).Equal(response.StatusCode, http.StatusOK)
}

// TestAnswerThatBecomesInvalidDoesNotEnd guards against a content or trailers that become invalid after
// the head was passed on: the caller must not take the answer for complete, and the log names the cause.
func TestAnswerThatBecomesInvalidDoesNotEnd(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n%IDTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"
	cases := []struct{ name, script, logged string }{
		{"chunk without a size", head + "\r\n", "no size of 63 bits"},
		{"chunk longer than its size", head + "4\r\nparts\r\n0\r\n\r\n", "longer than its size"},
		{"blank in the name of a trailer", head + "0\r\nX Y: 1\r\n\r\n", "trailer: byte 0x20"},
		{"length in a trailer", head + "0\r\nContent-Length: 4\r\n\r\n", "comes after the content"},
		{"no last chunk", head, "unexpected EOF"},
		{"content shorter than its length", "HTTP/1.1 200 OK\r\n%IDContent-Length: 9\r\n\r\npart", "unexpected EOF"},
	}
	entry, deep := startScriptedMesh(t)
	for _, c := range cases {
		for _, node := range []*platformNode{entry, deep} {
			t.Run(c.name+" by "+node.service, func(t *testing.T) {
				is := is.New(t)
				_, body, err := node.sendScript(t, c.script)
				is.True(err != nil)
				is.True(strings.HasPrefix("partpart", body))
				eventually(t, "the log line", func() bool {
					return strings.Contains(deep.log.String(), "answer-broken-off") && strings.Contains(deep.log.String(), c.logged)
				})
			})
		}
	}
}

// TestTrailersReachCaller guards against losing trailers, and against passing on one that only
// processes of loomcleat send.
func TestTrailersReachCaller(t *testing.T) {
	is := is.New(t)
	entry, deep := startScriptedMesh(t)
	for _, node := range []*platformNode{entry, deep} {
		response, body, err := node.sendScript(t, "HTTP/1.1 200 OK\r\n%IDTransfer-Encoding: chunked\r\n\r\n"+
			"5\r\nwhole\r\n0\r\nX-Sum: 5\r\n"+result.HeaderCode+": 1\r\n\r\n")
		is.NoErr(err)
		is.Equal(body, "whole")
		is.Equal(response.Trailer, http.Header{"X-Sum": {"5"}})
	}
}

// startFrontBeside starts a node beside a raw back end of the service front, whose requests may be repeated.
func startFrontBeside(t *testing.T, serve rawBackEnd) *platformNode {
	t.Helper()
	stub := metastore.NewServer()
	store := httptest.NewServer(stub.Handler())
	t.Cleanup(store.Close)
	stub.Put("op/config", platformConfiguration(3, "front"))
	front := newPlatformNode(t, "front")
	front.slots = 64
	front.startWithBackEnd(t, store.URL, startRawBackEnd(t, serve))
	front.awaitReady(t)
	front.getUntilServed(t, "/front/x", "")
	return front
}

// TestInvalidAnswerAmongPipelined guards against a broken answer that takes those of the other pipelined
// requests with it, or is passed on among them.
func TestInvalidAnswerAmongPipelined(t *testing.T) {
	front := startFrontBeside(t, serveScript)
	const sound = "HTTP/1.1 200 OK\r\n%IDContent-Length: 5\r\n\r\nsound"
	for name, broken := range map[string]string{
		"status 000":               "HTTP/1.1 000 x\r\n%IDContent-Length: 5\r\n\r\nwrong",
		"blank in a name":          "HTTP/1.1 200 OK\r\n%IDX Y: z\r\nContent-Length: 5\r\n\r\nwrong",
		"shorter than its length":  "HTTP/1.1 200 OK\r\n%IDContent-Length: 50\r\n\r\nwrong",
		"blank in a trailer":       "HTTP/1.1 200 OK\r\n%IDTransfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\nX Y: z\r\n\r\n",
		"interim without an end":   "HTTP/1.1 103 x\r\n%ID\r\n",
		"chunk that is not closed": "HTTP/1.1 200 OK\r\n%IDTransfer-Encoding: chunked\r\n\r\n5\r\nwrong",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conn := front.dial(t)
			var requests strings.Builder // sent at once, so that the later ones begin before the first is answered
			for _, script := range []string{sound, broken, sound} {
				fmt.Fprintf(&requests, "GET /front/x HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: row%d\r\nX-Deadline-Remaining: 5000\r\nAnswer: %s\r\n\r\n",
					attemptCount.Add(1), strconv.Quote(script))
			}
			_, err := io.WriteString(conn, requests.String())
			is.NoErr(err)
			reader := bufio.NewReader(conn)
			for _, want := range []int{http.StatusOK, http.StatusBadGateway, http.StatusOK} {
				response, err := http.ReadResponse(reader, nil)
				is.NoErr(err)
				is.Equal(response.StatusCode, want)
				body, err := io.ReadAll(response.Body)
				is.NoErr(err)
				is.Equal(string(body) == "sound", want == http.StatusOK)
			}
		})
	}
}
