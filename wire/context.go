package wire

import (
	"net/http"
	"time"
)

// CallContext is the metadata that a process sends to a node with a call.
type CallContext struct {
	// Service that is called.
	Service string
	// Request identifies the user request in the whole call graph. It is empty for a call
	// from outside the mesh.
	Request string
	// Attempt identifies one attempt of one call. The Report contains the same value.
	Attempt string
	// Priority of the user request, 0 to 1023.
	Priority int
	// Remaining is the time until the call's deadline, sent in whole microseconds.
	Remaining time.Duration
	// RetryAllowance is the number of retries that are delegated with the call.
	RetryAllowance int
	// Hops is the number of calls above this one in the call graph.
	Hops int
	// TargetLatency is the target latency of the call's route, sent in milliseconds.
	TargetLatency time.Duration
	// IsRetry is true if this attempt, or one above it in the call graph, is not the first
	// attempt of its call.
	IsRetry bool
	// ClaimKey is the key under which the call may run at most once, "" for a repeatable
	// call.
	ClaimKey string
	// Resent is true if an earlier attempt of this call may have reached a back end. Unlike
	// IsRetry, it says nothing of the calls above.
	Resent bool
}

// Names of the values of a CallContext in the header.
const (
	nameService        = "service"
	nameRequest        = "request"
	nameAttempt        = "attempt"
	namePriority       = "priority"
	nameRemaining      = "left"
	nameRetryAllowance = "budget"
	nameHops           = "hops"
	nameTargetLatency  = "target"
	nameIsRetry        = "repeat"
	nameClaimKey       = "claim"
	nameResent         = "resent"
)

// Write sets HeaderCall.
func (c *CallContext) Write(header http.Header) {
	list := newListWriter()
	list.addText(nameService, c.Service)
	list.addText(nameRequest, c.Request)
	list.addText(nameAttempt, c.Attempt)
	list.addNumber(namePriority, int64(c.Priority))
	list.addNumber(nameRemaining, c.Remaining.Microseconds())
	list.addNumber(nameRetryAllowance, int64(c.RetryAllowance))
	list.addNumber(nameHops, int64(c.Hops))
	list.addNumber(nameTargetLatency, c.TargetLatency.Milliseconds())
	list.addFlag(nameIsRetry, c.IsRetry)
	list.addText(nameClaimKey, c.ClaimKey)
	list.addFlag(nameResent, c.Resent)
	header[HeaderCall] = []string{list.String()}
}

// ReadCallContext reads HeaderCall. Missing and malformed values are zero.
func ReadCallContext(header http.Header) CallContext {
	var c CallContext
	readList(header.Get(HeaderCall), func(name, value string) {
		switch name {
		case nameService:
			c.Service = value
		case nameRequest:
			c.Request = value
		case nameAttempt:
			c.Attempt = value
		case namePriority:
			c.Priority = int(parseNumber(value))
		case nameRemaining:
			c.Remaining = time.Duration(parseNumber(value)) * time.Microsecond
		case nameRetryAllowance:
			c.RetryAllowance = int(parseNumber(value))
		case nameHops:
			c.Hops = int(parseNumber(value))
		case nameTargetLatency:
			c.TargetLatency = time.Duration(parseNumber(value)) * time.Millisecond
		case nameIsRetry:
			c.IsRetry = value == "1"
		case nameClaimKey:
			c.ClaimKey = value
		case nameResent:
			c.Resent = value == "1"
		}
	})
	return c
}
