// Package result defines the numbered result codes of loomcleat and the error type that
// carries them.
//
// Codes are grouped by outcome:
//
//	1xxx  a process could not start, or an operator's command failed
//	2xxx  the request was refused and did not run anywhere
//	3xxx  the outcome is unknown: the request may have run, once
//	4xxx  the request itself is not acceptable and did not run
//	5xxx  a defect in loomcleat
//
// conclusion.go defines what a code means for retries and for the health of the node and
// the back end, and retryafter.go the Retry-After that a refused caller receives. The
// package has no state and imports no other package of loomcleat.
//
// A test checks docs/RESULTS.md against Table.
package result

import "net/http"

// Code is a result code. Its number and meaning are stable across versions.
type Code int

// Codes of processes and operator commands.
const (
	SettingsInvalid    Code = 1001
	AddressInUse       Code = 1002
	StoreUnavailable   Code = 1003
	PolicyInvalid      Code = 1004
	EditConflict       Code = 1005
	EditOutcomeUnknown Code = 1006
	NotFound           Code = 1007
	NodeUnreachable    Code = 1008
	UsageInvalid       Code = 1009
)

// Codes of requests that were refused and did not run anywhere.
const (
	Overloaded         Code = 2001
	ShedEarly          Code = 2002
	DeadlineTooShort   Code = 2003
	Draining           Code = 2004
	NoNode             Code = 2005
	ClaimUnavailable   Code = 2006
	BackendUnreachable Code = 2007
	NotReady           Code = 2008
	UnknownService     Code = 2009
	CallerGone         Code = 2010
	NodeRefused        Code = 2011
	BackendRefused     Code = 2012
	BackendLeft        Code = 2013
	KeysUnproven       Code = 2014
	QuotaExceeded      Code = 2015
	RequestQuarantined Code = 2016
	RateLimited        Code = 2017
	PolicyOutdated     Code = 2018
)

// Codes of requests whose outcome is unknown.
const (
	DeadlineExceeded Code = 3001
	ConnectionLost   Code = 3002
	AlreadyClaimed   Code = 3003
	CallerCancelled  Code = 3004
	AnswerMismatch   Code = 3005
	CrashSuspected   Code = 3006
	AnswerInvalid    Code = 3007
	Stopped          Code = 3008
)

// Codes of requests that are not acceptable as they are.
const (
	BadRequest     Code = 4001
	KeyReused      Code = 4002
	NoRoute        Code = 4003
	HeaderTooLarge Code = 4004
	BodyTooLarge   Code = 4005
	KeyUnknown     Code = 4006
)

// Codes of defects.
const (
	Internal Code = 5001
)

// Definition describes one result code.
type Definition struct {
	Code   Code
	Name   string
	Status int  // HTTP status; 0 when the code is never sent over HTTP
	NotRun bool // the request certainly did not run anywhere
	Text   string
}

// Table defines every code, in ascending order.
var Table = []Definition{
	{SettingsInvalid, "settings-invalid", 0, true, "A settings file or flag has a wrong key, unit or range; the process did not start."},
	{AddressInUse, "address-in-use", 0, true, "A listen address cannot be bound; the process did not start."},
	{StoreUnavailable, "store-unavailable", 503, true, "The key-value store did not answer; nothing was written."},
	{PolicyInvalid, "policy-invalid", 422, true, "An edit of the policy tree failed its check; nothing was written."},
	{EditConflict, "edit-conflict", 409, true, "Other operators kept changing the policy tree; nothing was written."},
	{EditOutcomeUnknown, "edit-outcome-unknown", 504, false, "The store stopped answering while an edit was written; the edit may be in force."},
	{NotFound, "not-found", 404, true, "The named item does not exist."},
	{NodeUnreachable, "node-unreachable", 503, true, "The process that the command talks to did not answer."},
	{UsageInvalid, "usage-invalid", 0, true, "The command line is not valid."},
	{Overloaded, "overloaded", http.StatusServiceUnavailable, true, "The node beside the back end has no capacity for a request of this priority."},
	{ShedEarly, "shed-early", http.StatusServiceUnavailable, true, "A service deeper in the call path refuses this priority, so the request was refused before any work."},
	{DeadlineTooShort, "deadline-too-short", http.StatusServiceUnavailable, true, "The request cannot finish within its remaining time."},
	{Draining, "draining", http.StatusServiceUnavailable, true, "The process is stopping and takes no new requests."},
	{NoNode, "no-node", http.StatusServiceUnavailable, true, "No node of the service is available."},
	{ClaimUnavailable, "claim-unavailable", http.StatusServiceUnavailable, true, "A majority of the claim replicas cannot be reached, so a request that may not be repeated was not started."},
	{BackendUnreachable, "backend-unreachable", http.StatusServiceUnavailable, true, "No connection to the back end could be opened."},
	{NotReady, "not-ready", http.StatusServiceUnavailable, true, "The process has not yet learned the policy in force."},
	{UnknownService, "unknown-service", http.StatusNotFound, true, "The request names a service that is neither in the policy tree nor a member."},
	{CallerGone, "caller-gone", 499, true, "The caller went away before the request was started."},
	{NodeRefused, "node-refused", http.StatusServiceUnavailable, true, "No connection to a node of the service could be opened."},
	{BackendRefused, "backend-refused", http.StatusServiceUnavailable, true, "The back end promised that it did not run the request and will not."},
	{BackendLeft, "backend-left", http.StatusServiceUnavailable, true, "The back end beside the node is not known yet, or has left."},
	{KeysUnproven, "keys-unproven", http.StatusServiceUnavailable, true, "The process has not been able to prove for a while that its policy is the newest one, so that it cannot tell which keys were taken away."},
	{QuotaExceeded, "quota-exceeded", http.StatusTooManyRequests, true, "The tenant has made more requests than its quota allows, over all processes together."},
	{RequestQuarantined, "request-quarantined", http.StatusServiceUnavailable, true, "Back ends crashed, one after the other, while they ran this request, so that it is not handed to another."},
	{RateLimited, "rate-limited", http.StatusServiceUnavailable, true, "The back end has declared how many requests a second it takes, and gets as many."},
	{PolicyOutdated, "policy-outdated", http.StatusServiceUnavailable, true, "No route, service or key of the request is known, but the process can't know that its policy is the newest one."},
	{DeadlineExceeded, "deadline-exceeded", http.StatusGatewayTimeout, false, "The deadline passed while the request was in flight."},
	{ConnectionLost, "connection-lost", http.StatusBadGateway, false, "The connection broke after the request was sent and before its answer arrived."},
	{AlreadyClaimed, "already-claimed", http.StatusConflict, false, "The request was started before under the same key and its answer is not available; it was not run again."},
	{CallerCancelled, "caller-cancelled", 499, false, "The caller went away while the request was in flight."},
	{AnswerMismatch, "answer-mismatch", http.StatusBadGateway, false, "An answer did not carry the identity of its request and was discarded."},
	{CrashSuspected, "crash-suspected", http.StatusBadGateway, false, "The connection to the back end broke, as it did at others that crashed while they ran this request, so that it is not sent again."},
	{AnswerInvalid, "answer-invalid", http.StatusBadGateway, false, "The back end or a node sent bytes that are no HTTP answer, and they were discarded."},
	{Stopped, "stopped", http.StatusBadGateway, false, "The process stopped while the request was in flight, and could not wait for its answer."},
	{BadRequest, "bad-request", http.StatusBadRequest, true, "The request is malformed."},
	{KeyReused, "key-reused", http.StatusUnprocessableEntity, true, "The Idempotency-Key was used before for a different request."},
	{NoRoute, "no-route", http.StatusNotFound, true, "No route of the policy in force leads to the host and path."},
	{HeaderTooLarge, "header-too-large", http.StatusRequestHeaderFieldsTooLarge, true, "The header of the request is larger than the policy in force allows."},
	{BodyTooLarge, "body-too-large", http.StatusRequestEntityTooLarge, true, "The body of the request is larger than the policy in force allows."},
	{KeyUnknown, "key-unknown", http.StatusUnauthorized, true, "The request carries no key of a tenant of the policy in force, and its route is not public."},
	{Internal, "internal", http.StatusInternalServerError, false, "A defect in loomcleat; the log has the details."},
}

var byCode = func() map[Code]Definition {
	index := make(map[Code]Definition, len(Table))
	for _, definition := range Table {
		index[definition.Code] = definition
	}
	return index
}()

// Definition returns the definition of c, or that of Internal when c is not in Table.
func (c Code) Definition() Definition {
	if definition, ok := byCode[c]; ok {
		return definition
	}
	return byCode[Internal]
}

// Known reports whether c is in Table.
func (c Code) Known() bool {
	_, ok := byCode[c]
	return ok
}
