package lingering

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// backgroundWith returns a Listener.Background whose runs get ctx, and a channel that gets a value at the end
// of each run.
func backgroundWith(ctx context.Context) (background func(func(context.Context)), ended chan struct{}) {
	ended = make(chan struct{}, 1)
	return func(run func(context.Context)) {
		go func() {
			run(ctx)
			ended <- struct{}{}
		}()
	}, ended
}

// connect returns a client and the server's connection.
func connect(t *testing.T, background func(func(context.Context))) (client *net.TCPConn, server *Conn) {
	t.Helper()
	is := is.New(t)
	bound, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	listener := Listener{Listener: bound, Background: background}
	defer listener.Close()
	dialed, err := net.Dial("tcp", bound.Addr().String())
	is.NoErr(err)
	server, err = listener.AcceptConn()
	is.NoErr(err)
	t.Cleanup(func() {
		_ = dialed.Close()
		_ = server.Conn.Close()
	})
	is.NoErr(dialed.SetDeadline(time.Now().Add(20 * time.Second)))
	return dialed.(*net.TCPConn), server
}

// TestClientThatWritesGetsAnswer guards against a client that loses the answer since the server closed the
// connection with a reset while the client still wrote.
func TestClientThatWritesGetsAnswer(t *testing.T) {
	is := is.New(t)
	background, ended := backgroundWith(t.Context())
	client, server := connect(t, background)
	_, err := io.WriteString(client, "begin")
	is.NoErr(err)
	_, err = io.WriteString(server, "answer")
	is.NoErr(err)
	server.EndReading()
	is.NoErr(server.Close())
	is.NoErr(server.Close()) // once more
	for range 20 {
		_, err = io.WriteString(client, strings.Repeat("x", 64<<10)) // more than the buffers hold
		is.NoErr(err)
	}
	answer, err := io.ReadAll(client)
	is.NoErr(err)
	is.Equal(string(answer), "answer")
	is.NoErr(client.Close())
	<-ended // the client has closed the connection
}

// TestEndOfContextCloses guards against a client that keeps a connection open by writing without end.
func TestEndOfContextCloses(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	background, ended := backgroundWith(ctx)
	client, server := connect(t, background)
	server.EndReading()
	is.NoErr(server.Close())
	_, err := io.WriteString(client, "more")
	is.NoErr(err)
	cancel()
	<-ended
	for err == nil {
		_, err = io.WriteString(client, "more") // fails when the reset has arrived
	}
	is.True(!errors.Is(err, net.ErrClosed))
}

// TestEndReading guards against a server that takes the rest of a message for the next one.
func TestEndReading(t *testing.T) {
	is := is.New(t)
	background, _ := backgroundWith(t.Context())
	client, server := connect(t, background)
	_, err := io.WriteString(client, "ab")
	is.NoErr(err)
	one := make([]byte, 1)
	_, err = server.Read(one)
	is.NoErr(err)
	server.EndReading()
	_, err = server.Read(one)
	is.True(errors.Is(err, io.EOF))
}

// TestResetOnClose guards against a broken answer whose end looks like an orderly one.
func TestResetOnClose(t *testing.T) {
	is := is.New(t)
	background, _ := backgroundWith(t.Context())
	client, server := connect(t, background)
	server.EndReading()
	server.ResetOnClose()
	is.NoErr(server.Close())
	_, err := io.ReadAll(client)
	is.True(err != nil)
}

// TestConnectionWithoutHalfClose guards against a connection that stays open since its sending side can't be
// closed by itself.
func TestConnectionWithoutHalfClose(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	background, ended := backgroundWith(t.Context())
	server := &Conn{Conn: near, background: background}
	server.EndReading()
	is.NoErr(server.Close())
	<-ended
	_, err := far.Read(make([]byte, 1))
	is.True(errors.Is(err, io.EOF))
}
