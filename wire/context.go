package wire

import (
	"net/http"
	"time"
)

// CallContext is what a process tells a node with a call that it sends there.
type CallContext struct {
	// Service is the service that the call is for.
	Service string
	// Request identifies the user request across the whole call graph. A call without
	// one comes from outside the mesh.
	Request string
	// Attempt identifies one attempt of one call; the report echoes it.
	Attempt string
	// Priority is the priority of the user request, 0 to 1023.
	Priority int
	// Remaining is the time left for the call, sent in whole microseconds.
	Remaining time.Duration
	// Budget is the number of retries lent with the call.
	Budget int
	// Hops is the number of calls above this one in the call graph.
	Hops int
	// Target is the target latency of the call's route, sent in whole milliseconds.
	Target time.Duration
	// Repeat says that this attempt, or one above it in the call graph, is not the
	// first of its call.
	Repeat bool
	// ClaimKey is the key under which the call may run at most once, "" for calls that
	// may be repeated.
	ClaimKey string
}

// Names of the values of a CallContext.
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

// Write sets the header of the call.
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

// ReadCallContext reads the header of a call. What is missing or malformed is zero.
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
			c.Priority = int(numberOf(value))
		case nameRemaining:
			c.Remaining = time.Duration(numberOf(value)) * time.Microsecond
		case nameBudget:
			c.Budget = int(numberOf(value))
		case nameHops:
			c.Hops = int(numberOf(value))
		case nameTarget:
			c.Target = time.Duration(numberOf(value)) * time.Millisecond
		case nameRepeat:
			c.Repeat = value == "1"
		case nameClaimKey:
			c.ClaimKey = value
		}
	})
	return c
}
