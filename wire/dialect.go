package wire

import (
	"net/http"
	"strconv"
	"time"
)

// Dialect names the headers in which callers and back ends speak of what
// loomcleat needs to know. An empty name: they do not speak of it. The zero
// Dialect is that of plain HTTP.
type Dialect struct {
	// RequestID is the caller's name for one request. It is passed on, and each
	// answer of a back end must carry it back.
	RequestID string
	// Remaining is the time that the caller will wait, in whole milliseconds.
	// It is set anew on each request to a back end.
	Remaining string
	// CallerService is set on requests to back ends: the service that is next
	// to where the request began.
	CallerService string
	// ExpectInstance is set on requests to back ends: the only incarnation that
	// may run the request.
	ExpectInstance string
	// Instance is, on answers of back ends, the incarnation that answers.
	Instance string
	// NotRun is, on answers of back ends, the promise that the request was not
	// run and will not be.
	NotRun string
	// Credential is the header in which callers present the key of their tenant. It is
	// never passed on. Default HeaderAPIKey.
	Credential string
	// Tenant is set on requests to back ends: the name of the tenant that the caller
	// speaks for. Default HeaderTenant.
	Tenant string
	// FractionalRetryAfter says that callers understand fractions of a second in the
	// Retry-After header.
	FractionalRetryAfter bool
	// ReadLoad reads what a back end tells of its load with an answer, nil when it
	// tells nothing, an error when it makes no sense. Nil: back ends tell nothing.
	ReadLoad func(header http.Header) (*BackEndLoad, error)
	// ParentID guesses from the name of a request the name of the one that it
	// was made for. Nil: requests do not show it. A guess only links requests
	// that meet at one node; nothing may depend on it.
	ParentID func(requestID string) (parentID string, ok bool)
}

// BackEndLoad is the load that a back end tells of itself. It may lag or mislead.
type BackEndLoad struct {
	Running int // requests that it works on
	Waiting int // requests in its own queue
	Slots   int // requests that it works on at a time
}

// Share returns what runs and waits as a share of the slots, 0 when they are not known.
func (l BackEndLoad) Share() float64 {
	if l.Slots <= 0 {
		return 0
	}
	return float64(l.Running+l.Waiting) / float64(l.Slots)
}

// TakeCredential removes what a caller says of its tenant and returns the key that it
// presents, "" when it presents none or more than one.
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

// WriteTenant tells a back end for which tenant a request is.
func (d *Dialect) WriteTenant(header http.Header, tenant string) {
	header.Set(orDefault(d.Tenant, HeaderTenant), tenant)
}

// ReadTenant returns the name of the tenant that another process found a request to be
// for, "" when it is for none.
func (d *Dialect) ReadTenant(header http.Header) string {
	return header.Get(orDefault(d.Tenant, HeaderTenant))
}

func orDefault(name, standard string) string {
	if name == "" {
		return standard
	}
	return name
}

// HasRequestID reports whether requests have names.
func (d *Dialect) HasRequestID() bool { return d.RequestID != "" }

// ReadRemaining returns the time that the caller will wait, and false when it
// does not say.
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

// maximumRemaining bounds what a caller may say of the time that it will wait.
const maximumRemaining = 24 * time.Hour

// WriteRemaining sets the time that is left. It rounds down, so that a back end
// never gets more than there is.
func (d *Dialect) WriteRemaining(header http.Header, left time.Duration) {
	if d.Remaining != "" {
		header.Set(d.Remaining, strconv.FormatInt(max(left.Milliseconds(), 0), 10))
	}
}

// IsNotRun reports whether a back end promises that it did not run the request.
func (d *Dialect) IsNotRun(answer *http.Response) bool {
	if d.NotRun == "" {
		return false
	}
	return answer.Header.Get(d.NotRun) != "" || answer.StatusCode == http.StatusMisdirectedRequest
}
