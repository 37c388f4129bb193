package admission

// ticketHeap orders waiting requests: the highest class first, within a class
// those that are committed, then the highest priority, among equals the newest.
// Unordered: oldest first.
type ticketHeap struct {
	tickets   []*Ticket
	unordered bool
}

func (h *ticketHeap) Len() int { return len(h.tickets) }

func (h *ticketHeap) Less(i, j int) bool { return h.before(h.tickets[i], h.tickets[j]) }

func (h *ticketHeap) before(a, b *Ticket) bool {
	if h.unordered {
		return a.sequence < b.sequence
	}
	if classA, classB := ClassOf(a.Priority), ClassOf(b.Priority); classA != classB {
		return classA > classB
	}
	if a.Committed != b.Committed {
		return a.Committed
	}
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	return a.sequence > b.sequence
}

func (h *ticketHeap) Swap(i, j int) {
	h.tickets[i], h.tickets[j] = h.tickets[j], h.tickets[i]
	h.tickets[i].position = i
	h.tickets[j].position = j
}

// Push implements heap.Interface.
func (h *ticketHeap) Push(value any) {
	ticket, _ := value.(*Ticket)
	ticket.position = len(h.tickets)
	h.tickets = append(h.tickets, ticket)
}

// Pop implements heap.Interface.
func (h *ticketHeap) Pop() any {
	last := len(h.tickets) - 1
	ticket := h.tickets[last]
	h.tickets[last] = nil
	h.tickets = h.tickets[:last]
	ticket.position = -1
	return ticket
}

// worst returns the request that would be served last.
func (h *ticketHeap) worst() *Ticket {
	return h.last(func(*Ticket) bool { return true })
}

// worstCommitted returns the last of those that are committed, nil when there is
// none.
func (h *ticketHeap) worstCommitted() *Ticket {
	return h.last(func(ticket *Ticket) bool { return ticket.Committed })
}

// last returns the last of the requests that fit.
func (h *ticketHeap) last(fits func(*Ticket) bool) *Ticket {
	var worst *Ticket
	for _, ticket := range h.tickets {
		if fits(ticket) && (worst == nil || h.before(worst, ticket)) {
			worst = ticket
		}
	}
	return worst
}

// fresh returns the number of those that are not committed.
func (h *ticketHeap) fresh() int {
	count := 0
	for _, ticket := range h.tickets {
		if !ticket.Committed {
			count++
		}
	}
	return count
}

// bestFresh returns the first of those that are not committed, nil when there is
// none.
func (h *ticketHeap) bestFresh() *Ticket {
	var best *Ticket
	for _, ticket := range h.tickets {
		if !ticket.Committed && (best == nil || h.before(ticket, best)) {
			best = ticket
		}
	}
	return best
}
