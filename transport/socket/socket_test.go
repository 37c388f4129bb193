package socket

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

// pair returns both ends of a connection made by Listen and Dialer.
func pair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	is := is.New(t)
	listener, err := Listen("127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	near, err = Dialer{Timeout: time.Second}.DialContext(t.Context(), "tcp", listener.Addr().String())
	is.NoErr(err)
	far, err = listener.Accept()
	is.NoErr(err)
	t.Cleanup(func() {
		near.Close()
		far.Close()
	})
	return near, far
}

// TestLongWrite guards against lost or repeated bytes when the socket buffer is full
// and a write takes several system calls.
func TestLongWrite(t *testing.T) {
	is := is.New(t)
	near, far := pair(t)
	sent := bytes.Repeat([]byte("0123456789"), 1<<20)
	go func() {
		_, _ = near.Write(sent)
		near.Close()
	}()
	received, err := io.ReadAll(far)
	is.NoErr(err)
	is.True(bytes.Equal(received, sent))
}

func TestErrorsMatchNetPackage(t *testing.T) {
	cases := []struct {
		name    string
		disturb func(near, far net.Conn)
		kind    error
	}{
		{"peer closes", func(_, far net.Conn) { far.Close() }, io.EOF},
		{"closed locally", func(near, _ net.Conn) { near.Close() }, net.ErrClosed},
		{"deadline exceeded", func(near, _ net.Conn) { _ = near.SetReadDeadline(time.Now().Add(-time.Second)) }, os.ErrDeadlineExceeded},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			near, far := pair(t)
			c.disturb(near, far)
			_, err := near.Read(make([]byte, 1))
			is.True(errors.Is(err, c.kind))
			var netError net.Error
			if c.kind == os.ErrDeadlineExceeded {
				is.True(errors.As(err, &netError) && netError.Timeout())
			}
		})
	}
}

// TestDeadlineEndsBlockedRead guards against idle connections that servers cannot
// end by a read deadline.
func TestDeadlineEndsBlockedRead(t *testing.T) {
	is := is.New(t)
	near, _ := pair(t)
	ended := make(chan error)
	go func() {
		_, err := near.Read(make([]byte, 1))
		ended <- err
	}()
	is.NoErr(near.SetReadDeadline(time.Now().Add(10 * time.Millisecond)))
	is.True(errors.Is(<-ended, os.ErrDeadlineExceeded))
}

func TestQuiet(t *testing.T) {
	is := is.New(t)
	near, far := pair(t)
	is.True(Quiet(near))
	_, err := far.Write([]byte("x"))
	is.NoErr(err)
	eventually(t, func() bool { return !Quiet(near) })
	_, err = near.Read(make([]byte, 1))
	is.NoErr(err)
	is.True(Quiet(near)) // Quiet must not consume bytes
	is.True(!PeerClosed(near))
	far.Close()
	eventually(t, func() bool { return !Quiet(near) })
	eventually(t, func() bool { return PeerClosed(near) })
	near.Close()
	is.True(!Quiet(near)) // closed locally
}

// TestConnectionWithoutDescriptor guards against treating a connection that cannot be
// inspected as closed.
func TestConnectionWithoutDescriptor(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	is.True(Quiet(near))
	is.True(!PeerClosed(near))
}

func eventually(t *testing.T, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition not met within 5 s")
		}
	}
}
