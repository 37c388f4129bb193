package platformbackend

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"sync"
	"time"

	"github.com/loomcleat/loomcleat/internal/standin/serving"
	"github.com/loomcleat/loomcleat/platform"
)

// shedding decides which requests are refused although there is a slot for them.
type shedding struct {
	mutex sync.Mutex
	on    bool
	// Requests that have been refused. They run when they come again.
	refused map[string]bool
}

const (
	// shedEvery is the share of requests that are refused: one in so many.
	shedEvery = 4
	// surplusDelay is the time until a refusal is sent once more. It is longer than the time
	// until the request comes again, and shorter than its work.
	surplusDelay = 5 * time.Millisecond
)

// SetShedding makes the stub refuse a part of the requests, and send each refusal once more, late.
func (b *Backend) SetShedding(on bool) {
	b.shedding.mutex.Lock()
	defer b.shedding.mutex.Unlock()
	b.shedding.on = on
	b.shedding.refused = map[string]bool{}
}

// refuses reports whether a request is refused. Each one is refused once at most.
func (s *shedding) refuses(requestID string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.on || s.refused[requestID] {
		return false
	}
	digest := fnv.New32a()
	_, _ = digest.Write([]byte(requestID))
	if digest.Sum32()%shedEvery != 0 {
		return false
	}
	s.refused[requestID] = true
	return true
}

// refuseTwice refuses a request and sends the refusal once more, late, in the place of the next response
// on the connection.
func refuseTwice(w http.ResponseWriter, r *http.Request, requestID string) {
	dialect := platform.Dialect()
	w.Header().Set(dialect.NotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	conn := serving.Conn(r)
	time.AfterFunc(surplusDelay, func() {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", dialect.RequestID, requestID, dialect.NotRun)
	})
}
