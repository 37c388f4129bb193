package checkedconn

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/internal/standin/rawserver"
	"github.com/loomcleat/loomcleat/transport/responsecheck"
)

func newClient(t *testing.T) *http.Client {
	transport := &http.Transport{DialContext: Dial((&net.Dialer{}).DialContext), DisableCompression: true}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport, Timeout: 10 * time.Second}
}

// fetch makes a request and reads the whole response.
func fetch(client *http.Client, address, body string) (string, error) {
	response, err := client.Post("http://"+address+"/", "text/plain", strings.NewReader(body))
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return string(content), err
}

// TestInvalidResponses guards against believing bytes that are no response, and against an error that
// does not name what is wrong.
func TestInvalidResponses(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 000 x\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length : 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 0\r\n\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + strings.Repeat("X: y\r\n", responsecheck.MaximumFields+1),
		"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", responsecheck.MaximumHead),
	} {
		is := is.New(t)
		address := rawserver.Start(t, func(conn *net.TCPConn, request *http.Request) bool {
			_, _ = io.WriteString(conn, text)
			_, err := io.Copy(io.Discard, request.Body)
			return err == nil
		})
		_, err := fetch(newClient(t), address, "request")
		var invalid *responsecheck.Error
		is.True(errors.As(err, &invalid))
	}
}

// TestValidResponsesKeepConnection guards against a new connection for each request, and against taking
// a response for the continuation of the one before.
func TestValidResponsesKeepConnection(t *testing.T) {
	is := is.New(t)
	texts := []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	}
	var served atomic.Int64
	var connections sync.Map
	address := rawserver.Start(t, func(conn *net.TCPConn, request *http.Request) bool {
		connections.Store(conn, true)
		_, _ = io.Copy(io.Discard, request.Body)
		_, err := io.WriteString(conn, texts[int(served.Add(1))%len(texts)])
		return err == nil
	})
	client := newClient(t)
	for range 3 * len(texts) {
		content, err := fetch(client, address, "request")
		is.NoErr(err)
		is.Equal(content, "ok")
	}
	count := 0
	connections.Range(func(any, any) bool { count++; return true })
	is.Equal(count, 1)
}

// TestResetIsNoEnd guards against taking a part of a response without a length for the whole after a
// reset, which the writer of the request may learn in place of the reader.
func TestResetIsNoEnd(t *testing.T) {
	is := is.New(t)
	address := rawserver.Start(t, func(conn *net.TCPConn, request *http.Request) bool {
		_, _ = io.CopyN(io.Discard, request.Body, 1000)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
		_ = conn.SetLinger(0)
		return false
	})
	long := strings.Repeat("x", 8<<20)
	for range 40 {
		_, err := fetch(newClient(t), address, long)
		is.True(err != nil)
	}
}

// TestResponseWithoutLength guards against refusing a whole response that ends with its connection.
func TestResponseWithoutLength(t *testing.T) {
	is := is.New(t)
	address := rawserver.Start(t, func(conn *net.TCPConn, request *http.Request) bool {
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nwhole")
		return false
	})
	content, err := fetch(newClient(t), address, "request")
	is.NoErr(err)
	is.Equal(content, "whole")
}
