package platformbackend

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/loomcleat/loomcleat/platform"
)

// serve runs a request at an incarnation.
func (b *Backend) serve(w http.ResponseWriter, r *http.Request, incarnation string) {
	dialect := platform.Dialect()
	requestID := r.Header.Get(dialect.RequestID)
	w.Header().Set(dialect.RequestID, requestID)
	id := b.currentID()
	if expected := r.Header.Get(dialect.ExpectInstance); expected != "" && expected != id {
		w.Header().Set(dialect.Instance, id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.config.Observer.Arrived(incarnation)
	if b.shedding.refuses(requestID) {
		refuseTwice(w, r, requestID)
		return
	}
	release, ok := b.slots.Take(r.Context())
	if !ok {
		w.Header().Set(dialect.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer release()
	crashes := r.Header.Get(HeaderCrash) != ""
	b.config.Observer.RequestStarted(requestID, incarnation)
	time.Sleep(b.config.WorkTime)
	if crashes {
		b.Crash(incarnation)
		<-r.Context().Done()
		return
	}
	b.declare(w.Header(), incarnation)
	if path := r.Header.Get(HeaderCall); path != "" && !b.call(r, path) {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set(HeaderSeal, SealOf(requestID))
	_, _ = fmt.Fprintf(w, "%s %s", b.config.Service, requestID)
}

func (b *Backend) currentID() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.id
}

// Headers of the protocol by which an answer declares a rate limit or that the back end is leaving.
const (
	headerRateLimit = "Server-Limit"
	headerLeaving   = "Server-Leaving"
)

// declare sets the headers of an answer that declare a rate limit and leaving.
func (b *Backend) declare(header http.Header, incarnation string) {
	b.mutex.Lock()
	limit, leaving := b.rateLimit, b.leaving
	if leaving == leavingUndeclared {
		b.leaving = leavingDeclared
	}
	b.mutex.Unlock()
	if limit > 0 {
		header.Set(headerRateLimit, strconv.FormatFloat(limit, 'f', 1, 64))
	}
	if leaving != staying {
		header.Set(headerLeaving, "1")
	}
	b.config.Observer.RateLimitDeclared(incarnation, limit)
	if leaving == leavingUndeclared {
		b.config.Observer.DrainAcknowledged(incarnation)
	}
}

// SealOf returns the value of HeaderSeal for a request, which lets a caller recognize the
// response to its own request.
func SealOf(requestID string) string { return "sealed " + requestID }

// call makes a call for a request, to the first of the comma-separated paths. It reports
// whether the call succeeded with a response that belongs to it.
func (b *Backend) call(parent *http.Request, path string) bool {
	dialect := platform.Dialect()
	path, rest, _ := strings.Cut(path, ",") // The next back end makes the remaining calls.
	request, err := http.NewRequestWithContext(parent.Context(), http.MethodGet, "http://"+b.config.OutboundAddress+path, nil)
	if err != nil {
		return false
	}
	request.Host = b.config.Host
	id := parent.Header.Get(dialect.RequestID) + "." + strconv.Itoa(len(path))
	request.Header.Set(dialect.RequestID, id)
	request.Header.Set(dialect.Remaining, parent.Header.Get(dialect.Remaining))
	if rest != "" {
		request.Header.Set(HeaderCall, rest)
	}
	response, err := b.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return err == nil && response.StatusCode == http.StatusOK && strings.HasSuffix(string(body), " "+id)
}
