package forward

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/internal/standin/rawserver"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/ratelimit"
	"github.com/loomcleat/loomcleat/settings"
)

// TestBrokenHealthAnswerIsNotBelieved guards against taking a back end out of service by bytes that are
// no answer.
func TestBrokenHealthAnswerIsNotBelieved(t *testing.T) {
	cases := []struct {
		name, text string
		draining   bool
	}{
		{"valid", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 8\r\n\r\ndraining", true},
		{"blank in a name", "HTTP/1.1 503 Service Unavailable\r\nX Y: z\r\nContent-Length: 8\r\n\r\ndraining", false},
		{"blank behind the length", "HTTP/1.1 503 Service Unavailable\r\nContent-Length : 1\r\n\r\ndraining", false},
		{"other version", "HTTP/3.3 503 Service Unavailable\r\nContent-Length: 8\r\n\r\ndraining", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			address := rawserver.Start(t, func(conn *net.TCPConn, _ *http.Request) bool {
				_, _ = io.WriteString(conn, c.text)
				return false
			})
			f := &forwarder{process: &kernel.Process{
				Log:       event.Discard(),
				Settings:  settings.Settings{Backend: address},
				RateLimit: &ratelimit.Limiter{},
			}}
			is.Equal(f.reportsDraining(t.Context(), newHealthClient(), "/health"), c.draining)
		})
	}
}
