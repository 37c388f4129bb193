package result

// Conclusion is what the end of an attempt with a code lets the caller's process
// conclude. The zero value says that another attempt would end alike, and that the
// attempt counts for or against its node by whether it ran.
type Conclusion struct {
	// Next is what to expect of another attempt.
	Next Next
	// Absent says that a node or its back end was not there, or not ready, for a
	// moment, as while it is being started again.
	Absent bool
	// ByBackEnd says that the back end itself refused. The attempt arrived there, so that
	// it counts as one in the budgets that bound arrivals.
	ByBackEnd bool
	// Overload says that the request was refused for lack of room, so that the gate of
	// its route tells when there may be room again.
	Overload bool
	// BackEndFault says that the back end failed by itself: its answer was lost or is none.
	BackEndFault bool
	// Node is what the attempt says about the node that it went to.
	Node NodeEvidence
}

// Next is what to expect of another attempt.
type Next int

// Expectations of another attempt.
const (
	// Alike: it would end alike, or must not be made.
	Alike Next = iota
	// OtherNode: another node may serve the request, which this one did not run.
	OtherNode
	// FasterNode: the same, if enough time is left for a node that is faster.
	FasterNode
	// Unclear: the request may have run, and may be answered the next time.
	Unclear
)

// NodeEvidence is what an attempt says about the node that it went to.
type NodeEvidence int

// Kinds of evidence.
const (
	// ByRun: the node refused when the request did not run, and failed otherwise.
	ByRun NodeEvidence = iota
	// NodeFailed: the node failed, although the request did not run.
	NodeFailed
	// NoEvidence: the end has to do with the request or its caller.
	NoEvidence
)

// conclusions holds the codes whose Conclusion is not the zero value.
var conclusions = map[Code]Conclusion{
	Overloaded:         {Next: OtherNode, Overload: true},
	ShedEarly:          {Overload: true},
	DeadlineTooShort:   {Next: FasterNode, Node: NoEvidence},
	Draining:           {Next: OtherNode, Absent: true},
	NoNode:             {Absent: true},
	ClaimUnavailable:   {Next: OtherNode},
	BackendUnreachable: {Next: OtherNode, Absent: true},
	NotReady:           {Next: OtherNode, Absent: true},
	CallerGone:         {Node: NoEvidence},
	NodeRefused:        {Next: OtherNode, Absent: true, Node: NodeFailed},
	BackendRefused:     {Next: OtherNode, ByBackEnd: true, Overload: true},
	BackendLeft:        {Next: OtherNode, Absent: true},
	RequestQuarantined: {Node: NoEvidence},
	DeadlineExceeded:   {Next: Unclear},
	ConnectionLost:     {Next: Unclear, BackEndFault: true},
	CallerCancelled:    {Node: NoEvidence},
	AnswerMismatch:     {Next: Unclear, BackEndFault: true},
	CrashSuspected:     {BackEndFault: true},
}

// Conclusion returns what an end with c lets one conclude.
func (c Code) Conclusion() Conclusion { return conclusions[c] }
