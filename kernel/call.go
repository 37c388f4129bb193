package kernel

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/loomcleat/loomcleat/claims"
	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/policy"
	"github.com/loomcleat/loomcleat/retrybudget"
)

// Call is one request on its way through the chain of one process.
type Call struct {
	// Context ends when the caller goes away or the deadline passes.
	Context context.Context
	// Service is the service that the call is for.
	Service string
	// Method, URL and Host are those of the request, unchanged.
	Method string
	URL    *url.URL
	Host   string
	// Header is passed on. Hop-by-hop and internal headers are removed.
	Header http.Header
	// Body is the request body.
	Body *Body
	// Policy is what the tree says of the call.
	Policy policy.Effective
	// Request identifies the user request in the whole mesh.
	Request string
	// RequestID is the caller's name for the request, "" when it has none.
	RequestID string
	// Credential is the key that the caller presented, "" for none. It is a secret.
	Credential string
	// Tenant is the name of the tenant that the call is for, "" when none is known.
	Tenant string
	// Repeat says that this attempt, or a request above it, is a repeated one.
	Repeat bool
	// Tried lists the nodes that earlier attempts went to.
	Tried []string
	// Attempt identifies this attempt of the call.
	Attempt string
	// Priority is the priority of the user request.
	Priority int
	// Deadline is when the answer must be complete, counting the time in which the machine
	// is suspended.
	Deadline clock.Instant
	// Budget holds the retries that may be spent for the user request here.
	Budget *retrybudget.Account
	// ClaimKey is the key under which the call may run at most once. Only the plug-ins
	// identity and once set and read it; it stays zero with the setting claims: false.
	ClaimKey claims.Key
	// Instance names the incarnation of the back end that the call was handed to, "" before
	// that and where the back end sends no heartbeats.
	Instance string
	// Fingerprint tells requests with the same key apart: a hash of the body,
	// 0 when it is streamed.
	Fingerprint uint64
	// Hops is the number of calls above this one in the call graph.
	Hops int
	// Execution is the request whose back end makes this call (outbound), or
	// which this call becomes (inbound). Nil for calls from outside.
	Execution *Execution
	// ParentGuessed says that Execution was guessed from the name of the request, which a
	// caller chooses: it proves nothing about who sent the call.
	ParentGuessed bool
	// Inbound is true on the way to the own back end.
	Inbound bool
	// External is true for calls of callers outside the mesh.
	External bool
	// Routed says that the policy comes from the route table.
	Routed bool
	// Patience is the time that the caller gave the request, 0 when it did not say.
	Patience time.Duration
	// Pressure is the highest that any attempt of the call met: the time spent
	// waiting for slots as a multiple of what it should be.
	Pressure float64
	// RoomAfter is the time after which a call like this one may find room if it is
	// refused, 0 when nothing is known. Set by the plug-in that admits routes.
	RoomAfter time.Duration
	// ReleaseSlot gives back the slot of the back end early. Set by the
	// admission plug-in, nil before it.
	ReleaseSlot func()
}

// NotePressure records the pressure that an attempt of a call to another process met,
// for the call and for the request whose back end makes it.
func (c *Call) NotePressure(pressure float64) {
	c.Pressure = max(c.Pressure, pressure)
	if c.Execution != nil {
		c.Execution.NotePressure(pressure)
	}
}

// Committed reports whether other services have worked for the user request
// already, so that their work is lost when the call is refused.
func (c *Call) Committed() bool { return c.Hops > 0 }

// Answer is the answer to a call.
type Answer struct {
	*http.Response
	// Replayed is true when this is the stored answer of an earlier run.
	Replayed bool
	// Inherited is true when the answer is a failure that follows from a failed call
	// of the callee's back end, and says nothing about that back end.
	Inherited bool
}

// Failed reports whether the answer tells of a failure. No answer does not.
func (a *Answer) Failed() bool {
	return a != nil && a.StatusCode >= http.StatusInternalServerError
}
