// Package wire defines the protocol between loomcleat processes: the HTTP headers of
// forwarded requests and their answers, and the JSON messages of the control listener. It
// also defines the headers exchanged with callers and back ends (Dialect). It has no state.
// The messages contain types of the packages whose data they carry.
//
// Headers with the internal prefix are removed from all requests of callers and all
// answers of back ends. The exception is HeaderToken, which a back end copies from the
// request that it serves to the calls that it makes.
package wire

import (
	"net/http"
	"strings"
)

// Prefix is the prefix of all internal header names, in canonical form.
const Prefix = "Loomcleat-"

// Headers on requests between processes.
const (
	// HeaderToken holds the token of an execution. It is set on each request to a back
	// end, which copies it to the calls that it makes, as it does with traceparent.
	HeaderToken = "Loomcleat-Context"
	// HeaderCall holds the CallContext of a call from one process to another.
	HeaderCall = "Loomcleat-Call"
)

// HeaderReport holds the Report of the answering process. It is set on answers between
// processes.
const HeaderReport = "Loomcleat-Report"

// HeaderIdempotencyKey holds the caller's ID of a request that may run at most once
// (draft-ietf-httpapi-idempotency-key-header).
const HeaderIdempotencyKey = "Idempotency-Key"

// Default names of the headers for tenants; see Dialect.
const (
	// HeaderAPIKey holds the caller's API key.
	HeaderAPIKey = "X-Api-Key"
	// HeaderTenant holds the name of the caller's tenant, on requests to back ends.
	HeaderTenant = "Tenant-Name"
)

// hopByHop lists the headers that apply to one connection only (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopByHop deletes the headers that apply to one connection only, including those
// listed in the Connection header.
func RemoveHopByHop(header http.Header) {
	for _, list := range header["Connection"] {
		for _, name := range strings.Split(list, ",") {
			if name = strings.TrimSpace(name); name != "" {
				header.Del(name)
			}
		}
	}
	for _, name := range hopByHop {
		delete(header, name)
	}
}

// RemoveInternal deletes every internal header.
func RemoveInternal(header http.Header) {
	for name := range header {
		if strings.HasPrefix(name, Prefix) {
			delete(header, name)
		}
	}
}
