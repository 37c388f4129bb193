package admission

// ticketQueue is a heap of queued requests, ordered by class (highest first), upstream
// work (requests with it first), priority (highest first) and entry into the queue
// (newest first, because it has the most time left).
type ticketQueue struct {
	tickets []*Ticket
}

// notQueued is the position of a ticket that is not in the queue.
const notQueued = -1

func (q *ticketQueue) Len() int { return len(q.tickets) }

func (q *ticketQueue) Less(i, j int) bool { return q.before(q.tickets[i], q.tickets[j]) }

func (q *ticketQueue) before(a, b *Ticket) bool {
	if classA, classB := ClassOf(a.Priority), ClassOf(b.Priority); classA != classB {
		return classA > classB
	}
	if a.HasUpstreamWork != b.HasUpstreamWork {
		return a.HasUpstreamWork
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

// last returns the matching request that would be served last, nil if none matches.
func (q *ticketQueue) last(matches func(*Ticket) bool) *Ticket {
	var worst *Ticket
	for _, ticket := range q.tickets {
		if matches(ticket) && (worst == nil || q.before(worst, ticket)) {
			worst = ticket
		}
	}
	return worst
}

// withoutUpstreamWork returns the number of queued requests without upstream work.
func (q *ticketQueue) withoutUpstreamWork() int {
	count := 0
	for _, ticket := range q.tickets {
		if !ticket.HasUpstreamWork {
			count++
		}
	}
	return count
}

// bestWithoutUpstreamWork returns the first queued request without upstream work, nil if
// there is none.
func (q *ticketQueue) bestWithoutUpstreamWork() *Ticket {
	var best *Ticket
	for _, ticket := range q.tickets {
		if !ticket.HasUpstreamWork && (best == nil || q.before(ticket, best)) {
			best = ticket
		}
	}
	return best
}
