package admission

// uncommittedShare is the share of the slots, and of the queue, that is kept for
// requests which are not committed, beside committed ones of their class that would take
// all. Without it, a back end that serves both would serve the committed only.
const uncommittedShare = 0.2

// inFlight counts the requests that a back end works on.
type inFlight struct {
	all         int
	uncommitted int
}

func (f *inFlight) start(request *Request) {
	f.all++
	if !request.Committed {
		f.uncommitted++
	}
}

func (f *inFlight) end(request *Request) {
	f.all--
	if !request.Committed {
		f.uncommitted--
	}
}

// hasUncommittedShare reports whether the share of the limit for those that are not
// committed has room for one more, beside committed requests that take up the rest.
func (f *inFlight) hasUncommittedShare(limit int) bool {
	if limit == 1 || f.uncommitted == f.all {
		return false
	}
	return float64(f.uncommitted+1) <= max(uncommittedShare*float64(limit), 1)
}

// next returns the waiting request to start: the first one, unless the share of the
// uncommitted has room and one of them is of its class.
func (q *ticketQueue) next(uncommittedRoom bool) *Ticket {
	first := q.tickets[0]
	if !first.Committed || !uncommittedRoom {
		return first
	}
	if best := q.bestUncommitted(); best != nil && ClassOf(best.Priority) >= ClassOf(first.Priority) {
		return best
	}
	return first
}

// victim returns the request that a queue of more than limit gives up: the last one,
// unless those that are not committed are few already.
func (q *ticketQueue) victim(limit int) *Ticket {
	if float64(q.uncommitted()) <= uncommittedShare*float64(limit) {
		if committed := q.last(func(ticket *Ticket) bool { return ticket.Committed }); committed != nil {
			return committed
		}
	}
	return q.last(func(*Ticket) bool { return true })
}
