package exchange

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// unendingResponse begins a response whose body ends with the connection.
const unendingResponse = "HTTP/1.1 200 OK\r\n\r\n"

// Sizes of an upload whose server responds early.
const (
	// uploadSize is more than the buffers of a connection hold.
	uploadSize = 16 << 20
	uploadStep = 64 << 10
)

// endRounds is the number of repetitions of a test whose outcome could depend on which of two
// goroutines first learns that the connection was reset.
const endRounds = 40

// newUpload returns a request whose body is longer than the buffers of a connection hold.
func newUpload() *http.Request {
	request := newRequest("POST", "")
	request.Body, request.ContentLength = io.NopCloser(io.LimitReader(zeros{}, uploadSize)), uploadSize
	return request
}

// readUpload reads a part of an upload, as a server does that responds before the end.
func readUpload(t *testing.T, reader *bufio.Reader, size int) {
	request, err := http.ReadRequest(reader)
	if err != nil {
		t.Error(err)
		return
	}
	if _, err := io.CopyN(io.Discard, request.Body, int64(size)); err != nil {
		t.Error(err)
	}
}

// abort resets a connection.
func abort(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// TestResetDuringUploadIsNoEndOfResponse guards against a part of a response without a length that
// is taken for the whole, because the goroutine that writes the request learns of the reset first.
func TestResetDuringUploadIsNoEndOfResponse(t *testing.T) {
	ends := map[string]func(net.Conn){
		"reset":                       abort,
		"reset after a pause":         func(conn net.Conn) { time.Sleep(3 * time.Millisecond); abort(conn) },
		"closed with upload unread":   func(conn net.Conn) { _ = conn.Close() },
		"closed for reading, aborted": func(conn net.Conn) { _ = conn.(*net.TCPConn).CloseRead(); abort(conn) },
	}
	for name, end := range ends {
		for _, size := range []int{0, 1, 3000, bufferSize, 100 << 10} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				server := startServer(t, func(conn net.Conn, reader *bufio.Reader) {
					readUpload(t, reader, uploadStep)
					_, _ = io.WriteString(conn, unendingResponse+strings.Repeat("x", size))
					end(conn)
				})
				client := newTestClient()
				for range endRounds {
					request := newUpload()
					body, err := read(t, client, server.address, request)
					if err == nil {
						t.Fatalf("%d bytes were taken for a complete response", len(body))
					}
				}
				is.Equal(server.connections.Load(), int64(endRounds))
			})
		}
	}
}

// zeros is an endless request body.
type zeros struct{}

func (zeros) Read(data []byte) (int, error) {
	clear(data)
	return len(data), nil
}

// TestCloseDuringUploadIsNoEndOfResponse guards against a server that ends after it has read all that
// has arrived: its close looks like an end until more of the request is written.
func TestCloseDuringUploadIsNoEndOfResponse(t *testing.T) {
	for range endRounds {
		is := is.New(t)
		server := startServer(t, func(conn net.Conn, reader *bufio.Reader) {
			readUpload(t, reader, uploadStep)
			_, _ = io.WriteString(conn, unendingResponse+"part")
			_ = conn.Close()
		})
		source, writer := io.Pipe()
		request := newRequest("POST", "")
		request.Body, request.ContentLength = source, 2*uploadStep
		go func() {
			_, _ = writer.Write(make([]byte, uploadStep))
			time.Sleep(2 * time.Millisecond) // the close should arrive first; the result does not depend on it
			_, _ = writer.Write(make([]byte, uploadStep))
			_ = writer.Close()
		}()
		_, err := read(t, newTestClient(), server.address, request)
		is.True(err != nil)
	}
}

// TestEarlyResponseWithoutLength guards against refusing a complete response without a length whose
// server reads the rest of the upload.
func TestEarlyResponseWithoutLength(t *testing.T) {
	for _, size := range []int{0, 1, 3000, bufferSize, 1 << 20} {
		for _, pause := range []time.Duration{0, 50 * time.Millisecond} {
			is := is.New(t)
			sent := strings.Repeat("x", size)
			uploaded := make(chan int64, 1)
			server := startServer(t, func(conn net.Conn, reader *bufio.Reader) {
				request, _ := http.ReadRequest(reader)
				_, _ = io.WriteString(conn, unendingResponse+sent)
				_ = conn.(*net.TCPConn).CloseWrite()
				time.Sleep(pause)
				n, _ := io.Copy(io.Discard, request.Body)
				uploaded <- n
			})
			request := newUpload()
			body, err := read(t, newTestClient(), server.address, request)
			is.NoErr(err)
			is.True(body == sent)
			is.Equal(<-uploaded, int64(uploadSize))
		}
	}
}

// TestResponseWithoutLengthToShortRequest guards against refusing a response without a length whose
// server closes the connection after the request.
func TestResponseWithoutLengthToShortRequest(t *testing.T) {
	for _, version := range []string{"1.0", "1.1"} {
		for _, body := range []string{"", "short", strings.Repeat("x", maximumInlineBody+1)} {
			is := is.New(t)
			server := startServer(t, func(conn net.Conn, reader *bufio.Reader) {
				request, _ := http.ReadRequest(reader)
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(conn, "HTTP/"+version+" 200 OK\r\n\r\nwhole")
			})
			got, err := read(t, newTestClient(), server.address, newRequest("POST", body))
			is.NoErr(err)
			is.Equal(got, "whole")
		}
	}
}

// TestFailedUploadIsNoEndOfResponse guards against taking the end of a response without a length for
// complete when the request could not be written because its source failed.
func TestFailedUploadIsNoEndOfResponse(t *testing.T) {
	is := is.New(t)
	server := startServer(t, func(conn net.Conn, reader *bufio.Reader) {
		readUpload(t, reader, uploadStep)
		_, _ = io.WriteString(conn, unendingResponse+"part")
		_ = conn.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, reader)
	})
	request := newRequest("POST", "")
	failing := io.MultiReader(bytes.NewReader(make([]byte, 2*uploadStep)), failingReader{})
	request.Body, request.ContentLength = io.NopCloser(failing), -1
	_, err := read(t, newTestClient(), server.address, request)
	is.True(err != nil)
}

// TestStalledUploadEndsWithContext guards against waiting without end for the rest of an upload, which
// decides whether the response before it is complete.
func TestStalledUploadEndsWithContext(t *testing.T) {
	is := is.New(t)
	server := startServer(t, func(conn net.Conn, reader *bufio.Reader) {
		readUpload(t, reader, uploadStep)
		_, _ = io.WriteString(conn, unendingResponse+"part")
		_ = conn.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, reader)
	})
	source, writer := io.Pipe()
	defer writer.Close()
	go func() { _, _ = writer.Write(make([]byte, uploadStep)) }()
	request := newRequest("POST", "")
	request.Body, request.ContentLength = source, 2*uploadStep
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	response, err := newTestClient().Do(ctx, server.address, request)
	is.NoErr(err)
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	is.True(err != nil)
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("the source failed") }
