package result

// Conclusion is the meaning of a result code for the process that made the attempt. The
// zero value means that another attempt would have the same result, and that the node
// refused the request if it did not run, and failed otherwise.
type Conclusion struct {
	// Next is the expected result of another attempt.
	Next Next
	// Unavailable means that no node or back end was available or ready, which is usually
	// temporary, as during a restart.
	Unavailable bool
	// RefusedByBackEnd means that the back end itself refused the request. Since the attempt
	// reached the back end, it counts in the budgets that bound such attempts.
	RefusedByBackEnd bool
	// Overload means that the request was refused for lack of capacity. The gate of its
	// route estimates when capacity is available again.
	Overload bool
	// RateLimit means that the back end takes no more requests a second. It is no sign of
	// pressure as long as another back end of the service takes the request.
	RateLimit bool
	// BackEndFault means that the back end itself failed: its answer was lost or invalid.
	BackEndFault bool
	// Node is the evidence about the node to which the attempt was sent.
	Node NodeEvidence
}

// Next is the expected result of another attempt.
type Next int

// Expected results of another attempt.
const (
	// SameResult means the same result, or that another attempt must not be made.
	SameResult Next = iota
	// OtherNode means that the request did not run and another node may serve it.
	OtherNode
	// FasterNode is OtherNode, provided that the remaining time is enough for a faster
	// node.
	FasterNode
	// MayHaveRun means that the request may have run, and that another attempt may get an
	// answer.
	MayHaveRun
)

// NodeEvidence is the evidence that an attempt gives about the node to which it was sent.
type NodeEvidence int

// Kinds of evidence.
const (
	// ByOutcome means that the node refused the request if it did not run, and failed
	// otherwise.
	ByOutcome NodeEvidence = iota
	// NodeFailed means that the node failed although the request did not run.
	NodeFailed
	// NoEvidence means that the result was caused by the request or its caller.
	NoEvidence
)

// conclusions holds the Conclusions that are not the zero value.
var conclusions = map[Code]Conclusion{
	Overloaded:         {Next: OtherNode, Overload: true},
	ShedEarly:          {Overload: true},
	DeadlineTooShort:   {Next: FasterNode, Node: NoEvidence},
	Draining:           {Next: OtherNode, Unavailable: true},
	NoNode:             {Unavailable: true},
	ClaimUnavailable:   {Next: OtherNode},
	BackendUnreachable: {Next: OtherNode, Unavailable: true},
	NotReady:           {Next: OtherNode, Unavailable: true},
	CallerGone:         {Node: NoEvidence},
	NodeRefused:        {Next: OtherNode, Unavailable: true, Node: NodeFailed},
	BackendRefused:     {Next: OtherNode, RefusedByBackEnd: true, Overload: true},
	BackendLeft:        {Next: OtherNode, Unavailable: true},
	RequestQuarantined: {Node: NoEvidence},
	RateLimited:        {Next: OtherNode, Overload: true, RateLimit: true},
	DeadlineExceeded:   {Next: MayHaveRun},
	ConnectionLost:     {Next: MayHaveRun, BackEndFault: true},
	CallerCancelled:    {Node: NoEvidence},
	AnswerMismatch:     {Next: MayHaveRun, BackEndFault: true},
	CrashSuspected:     {BackEndFault: true},
	AnswerInvalid:      {Next: MayHaveRun, BackEndFault: true},
	Stopped:            {Next: MayHaveRun},
}

// Conclusion returns the Conclusion of an attempt that ended with c.
func (c Code) Conclusion() Conclusion { return conclusions[c] }
