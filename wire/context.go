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
	// Budget is the number of retries that are delegated with the call.
	Budget int
	// Hops is the number of calls above this one in the call graph.
	Hops int
	// Target is the target latency of the call's route, sent in milliseconds.
	Target time.Duration
	// Repeat is true if this attempt, or one above it in the call graph, is not the first
	// attempt of its call.
	Repeat bool
	// ClaimKey is the key under which the call may run at most once, "" for a repeatable
	// call.
	ClaimKey string
}

// Names of the values of a CallContext in the header.
const (
	nameService   = "service"
	nameRequest   = "request"
	nameAttempt   = "attempt"
	namePriority  = "priority"
	nameRemaining = "left"
	nameBudget    = "budget"
	nameHops      = "hops"
	nameTarget    = "target"
	nameRepeat    = "repeat"
	nameClaimKey  = "claim"
)

// Write sets HeaderCall.
func (c *CallContext) Write(header http.Header) {
	list := newListWriter()
	list.addText(nameService, c.Service)
	list.addText(nameRequest, c.Request)
	list.addText(nameAttempt, c.Attempt)
	list.addNumber(namePriority, int64(c.Priority))
	list.addNumber(nameRemaining, c.Remaining.Microseconds())
	list.addNumber(nameBudget, int64(c.Budget))
	list.addNumber(nameHops, int64(c.Hops))
	list.addNumber(nameTarget, c.Target.Milliseconds())
	list.addFlag(nameRepeat, c.Repeat)
	list.addText(nameClaimKey, c.ClaimKey)
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
		case nameBudget:
			c.Budget = int(parseNumber(value))
		case nameHops:
			c.Hops = int(parseNumber(value))
		case nameTarget:
			c.Target = time.Duration(parseNumber(value)) * time.Millisecond
		case nameRepeat:
			c.Repeat = value == "1"
		case nameClaimKey:
			c.ClaimKey = value
		}
	})
	return c
}
