package admission

// reservedShare is the share of the slots, and of the queue, that is reserved for
// requests without upstream work. Without it, requests with upstream work of the same
// class could take all slots.
const reservedShare = 0.2

// inFlight counts the requests that a back end is serving.
type inFlight struct {
	total               int
	withoutUpstreamWork int
}

func (f *inFlight) start(request *Request) {
	f.total++
	if !request.HasUpstreamWork {
		f.withoutUpstreamWork++
	}
}

func (f *inFlight) end(request *Request) {
	f.total--
	if !request.HasUpstreamWork {
		f.withoutUpstreamWork--
	}
}

// hasReservedSlot reports whether the reserved share of the limit has a free slot. Nothing
// is reserved at a limit of 1, or while no requests with upstream work are in flight.
func (f *inFlight) hasReservedSlot(limit int) bool {
	if limit == 1 || f.withoutUpstreamWork == f.total {
		return false
	}
	return float64(f.withoutUpstreamWork+1) <= max(reservedShare*float64(limit), 1)
}

// next returns the queued request to start: the first one, or the first one without
// upstream work if a reserved slot is free and its class is not lower.
func (q *ticketQueue) next(reservedSlotFree bool) *Ticket {
	first := q.tickets[0]
	if !first.HasUpstreamWork || !reservedSlotFree {
		return first
	}
	if best := q.bestWithoutUpstreamWork(); best != nil && ClassOf(best.Priority) >= ClassOf(first.Priority) {
		return best
	}
	return first
}

// victim returns the request to drop from a queue that is longer than limit: the last
// one, or the last one with upstream work while those without it fill no more than the
// reserved share.
func (q *ticketQueue) victim(limit int) *Ticket {
	if float64(q.withoutUpstreamWork()) <= reservedShare*float64(limit) {
		if last := q.last(func(ticket *Ticket) bool { return ticket.HasUpstreamWork }); last != nil {
			return last
		}
	}
	return q.last(func(*Ticket) bool { return true })
}
