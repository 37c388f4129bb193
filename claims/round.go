package claims

// Decision is the state of a Round.
type Decision int

// Decisions of a Round.
const (
	Pending     Decision = iota // more replies are needed
	Won                         // a majority granted the claim: the request may run
	Lost                        // no majority, and another run holds the key at a replica
	Unavailable                 // no majority can be reached now
	Outdated                    // the runner must read the new epoch and claim again
)

// Round collects the replies of the replicas of one group to one claim.
type Round struct {
	replicas int
	replied  int
	granted  int
	outdated bool
	changing bool
	holder   *Claim
	answer   *Answer
}

// NewRound returns a Round for a group.
func NewRound(group Group) *Round {
	return &Round{replicas: len(group.Replicas)}
}

// Reply records the reply of one replica and returns the decision so far. It must
// be called at most once for each replica.
func (r *Round) Reply(reply Reply) Decision {
	r.replied++
	switch reply.Verdict {
	case Granted:
		r.granted++
	case Held:
		r.holder = reply.Holder
		if reply.Answer != nil {
			r.answer = reply.Answer
		}
	case Stale:
		r.outdated = true
		r.changing = true
	case Behind, Syncing:
		r.changing = true
	}
	return r.Decision()
}

// NoReply records that one replica did not reply and returns the decision so far.
func (r *Round) NoReply() Decision {
	r.replied++
	return r.Decision()
}

// Decision returns the decision so far. It is Pending while the outstanding replies
// can still complete a majority.
func (r *Round) Decision() Decision {
	needed := majority(r.replicas)
	outstanding := r.replicas - r.replied
	switch {
	case r.replicas == 0:
		return Unavailable
	case r.granted >= needed:
		return Won
	case r.granted+outstanding >= needed:
		return Pending
	case r.outdated:
		return Outdated
	case r.holder != nil:
		return Lost
	default:
		return Unavailable
	}
}

// Changing reports whether a replica replied that the group is changing its epoch,
// so that a new round may succeed soon.
func (r *Round) Changing() bool { return r.changing }

// Holder returns the claim that holds the key and its answer, each nil if no replica
// returned it.
func (r *Round) Holder() (*Claim, *Answer) { return r.holder, r.answer }
