package claims

import "time"

// expiryQueue holds keys in order of insertion, which is nearly the order of
// expiry. A claim that was taken over from another replica can be due earlier than
// the items in front of it; it is then deleted late.
type expiryQueue struct {
	items []expiryItem
	first int
}

type expiryItem struct {
	at  time.Time
	key Key
}

func (q *expiryQueue) push(item expiryItem) { q.items = append(q.items, item) }

// pop removes and returns the first item, or reports false if it is not due yet.
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
