// Package wire defines what loomcleat processes say to each other: HTTP header
// names on forwarded requests and JSON messages on the control listener.
//
// Headers with the internal prefix are removed from everything that callers
// and back ends send, with one exception: HeaderContext, which a back end
// copies from the request it serves to the calls it makes.
package wire

import (
	"net/http"
	"strings"
)

// Prefix starts the name of every internal header, in canonical form.
const Prefix = "Loomcleat-"

// Headers on requests between processes.
const (
	// HeaderContext is given to a back end with each request. The back end
	// copies it to the calls it makes, as it does with traceparent.
	HeaderContext = "Loomcleat-Context"
	// HeaderRequest identifies the user request across the whole call graph.
	HeaderRequest = "Loomcleat-Request"
	// HeaderAttempt identifies one attempt of one call; the answer echoes it.
	HeaderAttempt = "Loomcleat-Attempt"
	// HeaderService names the service that the request is for.
	HeaderService = "Loomcleat-Service"
	// HeaderBudget is the number of retries lent with the request.
	HeaderBudget = "Loomcleat-Budget"
	// HeaderPriority is the priority of the user request, 0 to 1023.
	HeaderPriority = "Loomcleat-Priority"
	// HeaderRemaining is the time left for the request in microseconds.
	HeaderRemaining = "Loomcleat-Remaining"
	// HeaderClaimKey is the key under which the request may run at most once.
	HeaderClaimKey = "Loomcleat-Claim-Key"
	// HeaderHops is the number of calls above this one in the call graph.
	HeaderHops = "Loomcleat-Hops"
	// HeaderTarget is the target latency of the request's route in milliseconds.
	HeaderTarget = "Loomcleat-Target"
	// HeaderRepeat is "1" when this attempt, or one above it in the call graph,
	// is not the first of its request.
	HeaderRepeat = "Loomcleat-Repeat"
)

// Headers on answers between processes.
const (
	// HeaderUnspent is the part of HeaderBudget that was not used.
	HeaderUnspent = "Loomcleat-Unspent"
	// HeaderLevel is the lowest priority that the node and everything it
	// called for this request would admit now, 0 to 1024.
	HeaderLevel = "Loomcleat-Level"
	// HeaderPressure is the highest pressure that the request met at this node or
	// below: time waited for a place as a multiple of what it should be.
	HeaderPressure = "Loomcleat-Pressure"
	// HeaderLoad is the load of the node: the requests that its back end works on or
	// that wait, in percent of those that it works on at a time.
	HeaderLoad = "Loomcleat-Load"
	// HeaderLeaving is "1" when the answering node is stopping.
	HeaderLeaving = "Loomcleat-Leaving"
	// HeaderReplayed is "1" when the answer is the stored one of an earlier run.
	HeaderReplayed = "Loomcleat-Replayed"
)

// HeaderIdempotencyKey is the caller's name for a request that may run at most
// once (draft-ietf-httpapi-idempotency-key-header).
const HeaderIdempotencyKey = "Idempotency-Key"

// hopByHop are the headers that RFC 9110 section 7.6.1 binds to one connection.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopByHop deletes the headers of one connection, including those that
// the Connection header names.
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
