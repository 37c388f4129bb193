package admission

// ticketQueue is a heap of waiting requests: the highest class first, within a class
// those that are committed, then the highest priority, among equals the newest, which
// has the most time left.
type ticketQueue struct {
	tickets []*Ticket
}

// notQueued is the position of a ticket that does not wait.
const notQueued = -1

func (q *ticketQueue) Len() int { return len(q.tickets) }

func (q *ticketQueue) Less(i, j int) bool { return q.before(q.tickets[i], q.tickets[j]) }

func (q *ticketQueue) before(a, b *Ticket) bool {
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

func (q *ticketQueue) Swap(i, j int) {
	q.tickets[i], q.tickets[j] = q.tickets[j], q.tickets[i]
	q.tickets[i].position = i
	q.tickets[j].position = j
}

// Push implements heap.Interface.
func (q *ticketQueue) Push(value any) {
	ticket, _ := value.(*Ticket)
	ticket.position = len(q.tickets)
	q.tickets = append(q.tickets, ticket)
}

// Pop implements heap.Interface.
func (q *ticketQueue) Pop() any {
	last := len(q.tickets) - 1
	ticket := q.tickets[last]
	q.tickets[last] = nil
	q.tickets = q.tickets[:last]
	ticket.position = notQueued
	return ticket
}

// last returns the last of the requests that fit, nil when there is none.
func (q *ticketQueue) last(fits func(*Ticket) bool) *Ticket {
	var worst *Ticket
	for _, ticket := range q.tickets {
		if fits(ticket) && (worst == nil || q.before(worst, ticket)) {
			worst = ticket
		}
	}
	return worst
}

// uncommitted returns the number of those that are not committed.
func (q *ticketQueue) uncommitted() int {
	count := 0
	for _, ticket := range q.tickets {
		if !ticket.Committed {
			count++
		}
	}
	return count
}

// bestUncommitted returns the first of those that are not committed, nil when there is
// none.
func (q *ticketQueue) bestUncommitted() *Ticket {
	var best *Ticket
	for _, ticket := range q.tickets {
		if !ticket.Committed && (best == nil || q.before(ticket, best)) {
			best = ticket
		}
	}
	return best
}
