package wire

import (
	"net/http"
	"strconv"
	"time"

	"github.com/loomcleat/loomcleat/ratelimit"
)

// Dialect holds the names of the headers with which callers and back ends exchange metadata
// with loomcleat. An empty name means that they do not use such a header. The zero Dialect
// is that of plain HTTP.
type Dialect struct {
	// RequestID holds the caller's ID of one request. It is forwarded, and each answer of
	// a back end must contain it.
	RequestID string
	// Remaining holds the time that the caller still waits, in whole milliseconds. It is
	// set to the current value on each request to a back end.
	Remaining string
	// CallerService is set on requests to back ends. It holds the service of the process
	// that received the call first, for a back end's call that of the calling back end.
	CallerService string
	// ExpectInstance is set on requests to back ends. It holds the ID of the only
	// incarnation that may run the request.
	ExpectInstance string
	// Instance is set on answers of back ends. It holds the ID of the incarnation that
	// answered.
	Instance string
	// NotRun is set on answers of back ends. It guarantees that the request was not run
	// and will not be.
	NotRun string
	// Credential holds the API key of the caller's tenant. It is never forwarded. Default
	// HeaderAPIKey.
	Credential string
	// Tenant is set on requests to back ends. It holds the name of the caller's tenant.
	// Default HeaderTenant.
	Tenant string
	// FractionalRetryAfter is true if callers accept fractions of a second in the
	// Retry-After header.
	FractionalRetryAfter bool
	// ReadLoad reads the load that a back end reports with an answer. It returns nil if
	// none is reported, and an error if the report is invalid. Nil: back ends report no
	// load.
	ReadLoad func(header http.Header) (*BackEndLoad, error)
	// ReadRateLimit reads the rate limit that a back end declares with an answer: the
	// requests a second that it takes from all processes together. It returns nil if none is
	// declared, and an error if the limit is invalid. Nil: back ends declare no limits.
	ReadRateLimit func(header http.Header) (*ratelimit.Rate, error)
	// IsLeaving reports whether a back end declares with an answer that it is about to stop.
	// Nil: back ends don't declare that in answers.
	IsLeaving func(header http.Header) bool
	// ParentID derives the ID of a request's parent request from the request's ID. Nil:
	// IDs do not contain the parent's. The result is a guess. It may be used to link
	// requests that meet at one node, but correctness must not depend on it.
	ParentID func(requestID string) (parentID string, ok bool)
}

// BackEndLoad is the load that a back end reports. It may be late or wrong.
type BackEndLoad struct {
	Running int // requests that the back end is running
	Waiting int // requests in the back end's own queue
	Slots   int // requests that the back end can run concurrently
}

// Share returns running and waiting requests as a share of the slots, 0 if the number of
// slots is unknown.
func (l BackEndLoad) Share() float64 {
	if l.Slots <= 0 {
		return 0
	}
	return float64(l.Running+l.Waiting) / float64(l.Slots)
}

// TakeCredential removes the credential and tenant headers that a caller sent. It returns
// the caller's API key, "" if there is none or more than one.
func (d *Dialect) TakeCredential(header http.Header) string {
	name := orDefault(d.Credential, HeaderAPIKey)
	keys := header.Values(name)
	header.Del(name)
	header.Del(orDefault(d.Tenant, HeaderTenant))
	if len(keys) != 1 {
		return ""
	}
	return keys[0]
}

// WriteTenant sets the tenant header of a request to a back end.
func (d *Dialect) WriteTenant(header http.Header, tenant string) {
	header.Set(orDefault(d.Tenant, HeaderTenant), tenant)
}

// ReadTenant returns the tenant's name that another process set on a request, "" if there is
// none.
func (d *Dialect) ReadTenant(header http.Header) string {
	return header.Get(orDefault(d.Tenant, HeaderTenant))
}

func orDefault(name, fallback string) string {
	if name == "" {
		return fallback
	}
	return name
}

// HasRequestID reports whether callers give their requests IDs.
func (d *Dialect) HasRequestID() bool { return d.RequestID != "" }

// ReadRemaining returns the time that the caller still waits, and false if the header is
// missing or invalid.
func (d *Dialect) ReadRemaining(header http.Header) (time.Duration, bool) {
	if d.Remaining == "" {
		return 0, false
	}
	milliseconds, err := strconv.ParseInt(header.Get(d.Remaining), 10, 64)
	if err != nil || milliseconds < 0 || milliseconds > maximumRemaining.Milliseconds() {
		return 0, false
	}
	return time.Duration(milliseconds) * time.Millisecond, true
}

// maximumRemaining is the longest remaining time that is accepted from a caller.
const maximumRemaining = 24 * time.Hour

// WriteRemaining sets the remaining time. It rounds down, so that a back end never receives
// more time than is left.
func (d *Dialect) WriteRemaining(header http.Header, left time.Duration) {
	if d.Remaining != "" {
		header.Set(d.Remaining, strconv.FormatInt(max(left.Milliseconds(), 0), 10))
	}
}

// IsNotRun reports whether a back end's answer guarantees that the request was not run, by
// the header NotRun or by status 421. In a dialect without that header, no answer does.
func (d *Dialect) IsNotRun(answer *http.Response) bool {
	if d.NotRun == "" {
		return false
	}
	return answer.Header.Get(d.NotRun) != "" || answer.StatusCode == http.StatusMisdirectedRequest
}
