package kernel

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/loomcleat/loomcleat/claims"
	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/instance"
	"github.com/loomcleat/loomcleat/policy"
	"github.com/loomcleat/loomcleat/retrybudget"
)

// Call is one request that passes through the chain of one process.
type Call struct {
	// Context ends when the caller disconnects, the deadline passes or the process stops. Its cause
	// tells which: context.Canceled, context.DeadlineExceeded or another one.
	Context context.Context
	// Service is the name of the called service.
	Service string
	// Method, URL and Host are taken from the request unchanged.
	Method string
	URL    *url.URL
	Host   string
	// Header is forwarded. Hop-by-hop and internal headers are removed.
	Header http.Header
	// Arrived is when the head of the request had been read. The times that it tells count from then.
	Arrived clock.Instant
	Body    *Body
	// Policy is the effective policy of the call: the policy tree and, when Routed, its
	// route.
	Policy policy.Effective
	// UserRequest identifies the user request in the whole mesh.
	UserRequest string
	// RequestID is the ID that the caller gave the request, "" for none.
	RequestID string
	// Credential is the key that the caller presented, "" for none. It is a secret.
	Credential string
	// Tenant is the name of the tenant, "" when none is known.
	Tenant string
	// Declared is what the sender of an inbound call knows, from an earlier answer of this node
	// or of the process that ran here before, of the back end.
	Declared instance.Declared
	// IsRetry is true when this attempt, or one upstream of it, is a retry.
	IsRetry bool
	// Resent is true when an earlier attempt of this call may have reached a back end, with the
	// same RequestID.
	Resent bool
	// TriedNodes lists the nodes to which earlier attempts were sent.
	TriedNodes []string
	// Attempt identifies this attempt of the call.
	Attempt string
	// Priority is the priority of the user request, from 0 (lowest) to
	// admission.MaximumPriority.
	Priority int
	// Deadline is when the answer must be complete. Its clock advances while the machine
	// is suspended.
	Deadline clock.Instant
	// Budget holds the retries that may be spent for the user request here.
	Budget *retrybudget.Account
	// ClaimKey is the key under which the call runs at most once. Only the plug-ins
	// identity and once use it. It is zero with the setting claims: false.
	ClaimKey claims.Key
	// Incarnation is the ID of the back end's incarnation to which the call was forwarded,
	// "" before that and when the back end sends no heartbeats.
	Incarnation string
	// Fingerprint is a hash of the body, 0 when it is streamed. It distinguishes requests
	// with the same key.
	Fingerprint uint64
	// Hops is the number of calls upstream of this one in the call graph.
	Hops int
	// Execution is the request for which the back end makes this call (outbound), or the
	// execution of this call (inbound). It is nil for calls from outside.
	Execution *Execution
	// ParentGuessed is true when Execution was derived from RequestID. Any caller can
	// choose that ID, so it does not prove who sent the call.
	ParentGuessed bool
	// Inbound is true for calls to the back end of this node.
	Inbound bool
	// External is true for calls of callers outside the mesh.
	External bool
	// Routed is true when the service was chosen by the route table.
	Routed bool
	// CallerTimeout is the time that the caller is willing to wait, 0 when the caller did not
	// send one.
	CallerTimeout time.Duration
	// Pressure is the highest pressure seen by an attempt of the call: the time spent in
	// a queue for a slot, as a multiple of the queue time of the policy.
	Pressure float64
	// CapacityAfter is the estimated time until a call like this one can be admitted, 0 when
	// unknown. It is set by the plug-in that admits calls by route.
	CapacityAfter time.Duration
	// ReleaseSlot releases the slot of the back end early. It is set by the admission
	// plug-in and nil before it.
	ReleaseSlot func()
}

// RecordPressure records the pressure that another process reported for an attempt, for
// the call and for the execution that makes it.
func (c *Call) RecordPressure(pressure float64) {
	c.Pressure = max(c.Pressure, pressure)
	if c.Execution != nil {
		c.Execution.RecordPressure(pressure)
	}
}

// HasUpstreamWork reports whether the call has upstream work: other services have already
// done work for the user request, which is lost when the call is refused.
func (c *Call) HasUpstreamWork() bool { return c.Hops > 0 }

// Answer is the answer to a call.
type Answer struct {
	*http.Response
	// Replayed is true for the stored answer of an earlier execution.
	Replayed bool
	// CausedDownstream is true when the back end failed because one of its own calls failed.
	// Such an answer does not count as a fault of that back end.
	CausedDownstream bool
}

// Failed reports whether the answer has a status of 500 or more. It is false for nil.
func (a *Answer) Failed() bool {
	return a != nil && a.StatusCode >= http.StatusInternalServerError
}
