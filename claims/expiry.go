package claims

import "time"

// expiryQueue lists keys in the order of insertion, which is nearly the order
// of expiry: claims taken over from other replicas may expire somewhat earlier
// than their place says, which only keeps them longer.
type expiryQueue struct {
	items []expiryItem
	first int
}

type expiryItem struct {
	at  time.Time
	key Key
}

func (q *expiryQueue) push(item expiryItem) { q.items = append(q.items, item) }

// pop returns the next item that is due.
func (q *expiryQueue) pop(now time.Time) (expiryItem, bool) {
	if q.first == len(q.items) {
		q.items, q.first = q.items[:0], 0
		return expiryItem{}, false
	}
	item := q.items[q.first]
	if item.at.After(now) {
		return expiryItem{}, false
	}
	q.first++
	if q.first > len(q.items)/2 {
		q.items = append(q.items[:0], q.items[q.first:]...)
		q.first = 0
	}
	return item, true
}
