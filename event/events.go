// Package event defines the numbered log events of loomcleat and a logger that writes them
// through hclog.
//
// It owns the catalogue of events, the rate limit for the lines of each event, and the
// queue between a process and its log output. It imports no other package of loomcleat.
//
// Event numbers are stable across versions, so that alerts can match them. A test checks
// docs/EVENTS.md against Catalogue.
package event

// Number is the number of a log event.
type Number int

// Events of the process life cycle.
const (
	ProcessStarting  Number = 100
	ProcessReady     Number = 101
	ProcessDraining  Number = 102
	ProcessStopped   Number = 103
	StartFailed      Number = 104
	DrainTimedOut    Number = 105
	LibraryMessage   Number = 106
	SettingsReloaded Number = 107
	ReloadFailed     Number = 108
	MachineSuspended Number = 109
	CallsCutOff      Number = 110
)

// Events of policy distribution.
const (
	DocumentAdopted   Number = 200
	DocumentRejected  Number = 201
	StoreUnreachable  Number = 202
	StoreRecovered    Number = 203
	DocumentOlderSeen Number = 204
	StoreWatchChanged Number = 205
	StoreRestored     Number = 206
	DocumentAnnounced Number = 207
	FetchFailed       Number = 208
)

// Events of membership.
const (
	MemberJoined        Number = 300
	MemberSuspected     Number = 301
	MemberDead          Number = 302
	MemberLeaving       Number = 303
	SelfRefuted         Number = 304
	PeerUnreachable     Number = 305
	MachineListDown     Number = 306
	Registered          Number = 307
	RegistryUnreachable Number = 308
	MachineListUp       Number = 309
	PeerRegained        Number = 310
	MemberRecovered     Number = 311
	MemberRefused       Number = 312
)

// Events of request traffic.
const (
	BackendDown         Number = 400
	BackendUp           Number = 401
	BackendDraining     Number = 402
	NodeEjected         Number = 403
	NodeRestored        Number = 404
	AnswerMismatch      Number = 405
	RequestPanic        Number = 406
	AdmissionLevelSet   Number = 407
	InstanceChanged     Number = 408
	HeartbeatRefused    Number = 409
	RequestFailed       Number = 410
	RequestRefused      Number = 411
	AttemptRepeated     Number = 412
	GateMoved           Number = 413
	AnsweredWithFailure Number = 414
	LoadNotUnderstood   Number = 415

	QuotaNarrowed           Number = 416
	QuotaCoordinatorChanged Number = 417
	QuotaUnanswered         Number = 418

	BackendCrashed      Number = 419
	RequestQuarantined  Number = 420
	SuspicionCleared    Number = 421
	QuarantineNotStored Number = 422

	RateLimitDeclared      Number = 423
	RateLimitNotUnderstood Number = 424
	LeavingDeclared        Number = 425
	LeaveAnnounced         Number = 426
	LeavingRecalled        Number = 427
	AnswerBrokenOff        Number = 428
	HealthAnswerInvalid    Number = 429
	LeavingNotStored       Number = 430
	RecalledFromPeers      Number = 431
)

// Events of at-most-once claims.
const (
	ClaimGroupAdopted     Number = 500
	ClaimGroupSynced      Number = 501
	ClaimGroupPlanned     Number = 502
	ClaimGroupPlanFailed  Number = 503
	ClaimMajorityLost     Number = 504
	ClaimOutcomeUncertain Number = 505
)

// Definition describes one event.
type Definition struct {
	Number Number
	Name   string
	Level  string // info, warn or error
	Text   string
}

// Catalogue defines every event, in ascending order.
var Catalogue = []Definition{
	{ProcessStarting, "process-starting", "info", "The process has checked its settings and bound its listeners."},
	{ProcessReady, "process-ready", "info", "The process knows the policy in force and accepts requests."},
	{ProcessDraining, "process-draining", "info", "The process was told to stop: it announces this, refuses new requests and finishes those in flight."},
	{ProcessStopped, "process-stopped", "info", "The process has ended in order."},
	{StartFailed, "start-failed", "error", "The process could not start; the numbered result says why."},
	{DrainTimedOut, "drain-timed-out", "warn", "Requests were still in flight when the drain timeout passed; they are ended, and answered unless their answer had begun."},
	{LibraryMessage, "library-message", "info", "A message of the HTTP framework."},
	{SettingsReloaded, "settings-reloaded", "info", "The settings file was read again; the line names the keys that changed and those that wait for a restart."},
	{ReloadFailed, "reload-failed", "error", "The settings file was read again and is not valid; the settings before it stay in force."},
	{MachineSuspended, "machine-suspended", "warn", "The machine was suspended; ages and deadlines include that time."},
	{CallsCutOff, "calls-cut-off", "error", "Requests that a stopping process had ended could not be answered in time; their connections are closed."},
	{DocumentAdopted, "document-adopted", "info", "A higher revision of the policy tree or of the claim groups is in force in this process."},
	{DocumentRejected, "document-rejected", "error", "A policy tree or claim groups document failed its check; the revision before it stays in force."},
	{StoreUnreachable, "store-unreachable", "warn", "The key-value store does not answer; the last policy stays in force and the read is retried."},
	{StoreRecovered, "store-recovered", "info", "The key-value store answers again."},
	{DocumentOlderSeen, "document-older-seen", "warn", "The store or a peer showed an older revision, which was ignored."},
	{StoreWatchChanged, "store-watch-changed", "info", "This process started or stopped reading the store: on behalf of its peers, or because no peer confirms its policy."},
	{StoreRestored, "store-restored", "warn", "The key-value store was restored from an older copy: it is read anew, and what this process keeps there is written again."},
	{DocumentAnnounced, "document-announced", "info", "A peer has a higher revision of a document than this process, which fetches it."},
	{FetchFailed, "fetch-failed", "warn", "A document, or the crashes that a peer knows, could not be fetched from it; other peers, and for documents the store, are asked."},
	{MemberJoined, "member-joined", "info", "A process joined the mesh."},
	{MemberSuspected, "member-suspected", "warn", "A member did not answer probes."},
	{MemberDead, "member-dead", "warn", "A member was declared dead."},
	{MemberLeaving, "member-leaving", "info", "A member announced that it is leaving, or the machine list says so."},
	{SelfRefuted, "self-refuted", "warn", "This process learned that it was suspected and announced that it is alive."},
	{PeerUnreachable, "peer-unreachable", "warn", "A seed address did not answer; it is tried again."},
	{MachineListDown, "machine-list-down", "warn", "The machine list does not answer; members known so far are kept."},
	{Registered, "registered", "info", "This process has entered itself where others look for members."},
	{RegistryUnreachable, "registry-unreachable", "warn", "This process could not enter or remove itself where others look for members; entering is tried again."},
	{MachineListUp, "machine-list-up", "info", "The machine list answers again."},
	{PeerRegained, "peer-regained", "info", "A seed address that did not answer does so again."},
	{MemberRecovered, "member-recovered", "info", "A member that was suspected or dead is alive."},
	{MemberRefused, "member-refused", "warn", "A record of a process that no process can have written, such as one with a port out of range, was ignored."},
	{BackendDown, "backend-down", "warn", "The back end beside this node refuses connections."},
	{BackendUp, "backend-up", "info", "The back end beside this node accepts connections again."},
	{BackendDraining, "backend-draining", "info", "The back end beside this node said that it is draining."},
	{NodeEjected, "node-ejected", "warn", "A node failed repeatedly and is avoided for a while."},
	{NodeRestored, "node-restored", "info", "A node that was avoided answered a probe request."},
	{AnswerMismatch, "answer-mismatch", "error", "An answer did not carry the identity of its request; the connection was closed."},
	{RequestPanic, "request-panic", "error", "A request handler panicked; the request failed and the process goes on."},
	{AdmissionLevelSet, "admission-level-set", "info", "The admission level of this node entered or left the state of overload."},
	{InstanceChanged, "instance-changed", "info", "The back end beside this node is another incarnation now, or none is known."},
	{HeartbeatRefused, "heartbeat-refused", "warn", "A heartbeat or an announced stop that is not of the back end beside this node, or of another start than the running one, was not acknowledged."},
	{RequestFailed, "request-failed", "warn", "A request ended without the answer of a back end, and may have run."},
	{RequestRefused, "request-refused", "info", "A request was refused and did not run."},
	{AttemptRepeated, "attempt-repeated", "info", "An attempt of a call failed and another one is made."},
	{GateMoved, "gate-moved", "info", "The share of a route's requests that is admitted at this entry went below or above a half, or to all."},
	{AnsweredWithFailure, "answered-with-failure", "info", "A back end answered with a status of 500 or more, which was passed on."},
	{LoadNotUnderstood, "load-not-understood", "warn", "The back end beside this node reported a load that makes no sense; it was ignored."},
	{QuotaNarrowed, "quota-narrowed", "info", "A tenant is near its quota and throttled: only a share of its requests is admitted here; or it is no longer throttled."},
	{QuotaCoordinatorChanged, "quota-coordinator-changed", "info", "Another process is the coordinator of the quotas now."},
	{QuotaUnanswered, "quota-unanswered", "warn", "The coordinator of the quotas did not answer a report; this process keeps to equal shares until another one answers."},
	{BackendCrashed, "backend-crashed", "warn", "The back end beside this node crashed while it worked on requests; the line names them by their signatures."},
	{RequestQuarantined, "request-quarantined", "warn", "Enough back ends crashed under one request: it is refused from now on, and its caller is told when to try again."},
	{SuspicionCleared, "suspicion-cleared", "info", "A back end answered a request that others had crashed under; it is no longer suspected of those crashes."},
	{QuarantineNotStored, "quarantine-not-stored", "warn", "The requests in quarantine could not be read from the store or written to it; this is tried again, and peers know of them meanwhile."},
	{RateLimitDeclared, "rate-limit-declared", "info", "The back end beside this node declared how many requests a second it takes from all processes together, changed that limit, or declares none any more."},
	{RateLimitNotUnderstood, "rate-limit-not-understood", "warn", "The back end beside this node declared a rate limit that is no number of requests per second; the limit before it stays in force."},
	{LeavingDeclared, "leaving-declared", "info", "The back end beside this node declared in an answer that it is about to stop."},
	{LeaveAnnounced, "leave-announced", "info", "A back end announced the stop of one of its starts: heartbeats of it that arrive later don't open it again. It is acknowledged once it is in the store."},
	{LeavingRecalled, "leaving-recalled", "info", "The store, a peer or a caller knew that a start of the back end beside this node had announced its stop to the process that ran here before; it gets no requests."},
	{AnswerBrokenOff, "answer-broken-off", "warn", "An answer broke off or became invalid after its head had been passed on; the connection to the caller was closed, so that the answer does not look complete."},
	{HealthAnswerInvalid, "health-answer-invalid", "warn", "The health path of the back end beside this node answered with bytes that are no HTTP answer; what was known of it stays."},
	{LeavingNotStored, "leaving-not-stored", "warn", "The starts of the back end that have left could not be read from the store or written to it; this is tried again, and leaving is not acknowledged meanwhile."},
	{RecalledFromPeers, "recalled-from-peers", "warn", "The store could not be read after the start; the back end is opened by what peers know of the process that ran here before, or since no heartbeat can be that late."},
	{ClaimGroupAdopted, "claim-group-adopted", "info", "A new epoch of the claim groups is known to this process."},
	{ClaimGroupSynced, "claim-group-synced", "info", "This process holds all claims of a claim group and votes in it."},
	{ClaimGroupPlanned, "claim-group-planned", "info", "This process wrote a new epoch of the claim groups to the store."},
	{ClaimGroupPlanFailed, "claim-group-plan-failed", "warn", "A new epoch of the claim groups could not be written; it is tried again."},
	{ClaimMajorityLost, "claim-majority-lost", "error", "A claim group has lost a majority of its replicas; its requests are refused until claims have expired."},
	{ClaimOutcomeUncertain, "claim-outcome-uncertain", "warn", "A request that may not be repeated ended without a known outcome."},
}

var byNumber = func() map[Number]Definition {
	index := make(map[Number]Definition, len(Catalogue))
	for _, definition := range Catalogue {
		index[definition.Number] = definition
	}
	return index
}()

// Definition returns the definition of n. It panics when n is not in Catalogue.
func (n Number) Definition() Definition {
	definition, ok := byNumber[n]
	if !ok {
		panic("event: number is not in the catalogue")
	}
	return definition
}
