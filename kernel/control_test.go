package kernel

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/internal/standin/rawserver"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/wire"
)

// startBrokenPeer starts a process that answers a control message with a text, and then with another
// one without end.
func startBrokenPeer(t *testing.T, text, withoutEnd string) (address string) {
	return rawserver.Start(t, func(conn *net.TCPConn, _ *http.Request) bool {
		_, err := io.WriteString(conn, text)
		for err == nil && withoutEnd != "" {
			_, err = io.WriteString(conn, withoutEnd)
		}
		return false
	})
}

// TestBrokenAnswersOfPeersAreNotBelieved guards against decoding bytes that are no answer to a control
// message, and against reading them for as long as a process sends them.
func TestBrokenAnswersOfPeersAreNotBelieved(t *testing.T) {
	const jsonHead = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	cases := []struct{ name, text, withoutEnd string }{
		{"blank in a name", jsonHead + "X Y: z\r\nContent-Length: 2\r\n\r\n{}", ""},
		{"blank behind the length", jsonHead + "Content-Length : 9\r\n\r\n{}", ""},
		{"status above 599", "HTTP/1.1 777 x\r\nContent-Length: 2\r\n\r\n{}", ""},
		{"field without end", jsonHead, strings.Repeat("x", 4096)},
		{"interim answers without end", "", "HTTP/1.1 103 x\r\n\r\n"},
		{"content without end", jsonHead + "\r\n{", strings.Repeat(" ", 1<<20)},
		{"failure without end", "HTTP/1.1 500 x\r\nContent-Type: application/json\r\n\r\n{", strings.Repeat(" ", 1<<20)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			client := newControlClient(&Counters{}, nil, time.Second)
			defer client.Close()
			err := client.Invoke(t.Context(), startBrokenPeer(t, c.text, c.withoutEnd), http.MethodPost, wire.PathLeave, &wire.Leave{}, &wire.Empty{})
			is.True(err != nil)
			is.Equal(result.From(err).Code, result.NodeUnreachable)
		})
	}
}
