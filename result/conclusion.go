package result

// Conclusion is the meaning of a result code for the process that made the attempt. The
// zero value means that another attempt would have the same result, and that the node
// refused the request if it did not run, and failed otherwise.
type Conclusion struct {
	// Next is the expected result of another attempt.
	Next Next
	// Absent means that no node or back end was available or ready, which is usually
	// temporary, as during a restart.
	Absent bool
	// ByBackEnd means that the back end itself refused the request. Since the attempt
	// reached the back end, it counts in the budgets that bound such attempts.
	ByBackEnd bool
	// Overload means that the request was refused for lack of capacity. The gate of its
	// route estimates when capacity is available again.
	Overload bool
	// BackEndFault means that the back end itself failed: its answer was lost or invalid.
	BackEndFault bool
	// Node is the evidence about the node to which the attempt was sent.
	Node NodeEvidence
}

// Next is the expected result of another attempt.
type Next int

// Expected results of another attempt.
const (
	// Alike means the same result, or that another attempt must not be made.
	Alike Next = iota
	// OtherNode means that the request did not run and another node may serve it.
	OtherNode
	// FasterNode is OtherNode, provided that the remaining time is enough for a faster
	// node.
	FasterNode
	// Unclear means that the request may have run, and that another attempt may get an
	// answer.
	Unclear
)

// NodeEvidence is the evidence that an attempt gives about the node to which it was sent.
type NodeEvidence int

// Kinds of evidence.
const (
	// ByRun means that the node refused the request if it did not run, and failed
	// otherwise.
	ByRun NodeEvidence = iota
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

// Conclusion returns the Conclusion of an attempt that ended with c.
func (c Code) Conclusion() Conclusion { return conclusions[c] }
