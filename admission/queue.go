package admission

// ticketHeap orders waiting requests: highest priority first, among equals the
// newest. Unordered: oldest first.
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
	if a.priority != b.priority {
		return a.priority > b.priority
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
	worst := h.tickets[0]
	for _, ticket := range h.tickets {
		if h.before(worst, ticket) {
			worst = ticket
		}
	}
	return worst
}
