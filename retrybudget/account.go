package retrybudget

import "sync"

// Account holds the retries that one process may still make for one user request. It is
// safe for concurrent use.
type Account struct {
	mutex  sync.Mutex
	left   int
	closed bool
}

// Open returns an Account with a number of retries. A negative number counts as 0.
func Open(retries int) *Account {
	return &Account{left: max(retries, 0)}
}

// Spend takes one retry and reports whether one was left.
func (a *Account) Spend() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.closed || a.left == 0 {
		return false
	}
	a.left--
	return true
}

// Delegate takes the retries to delegate to one downstream call and returns their number. It is
// half of the remaining retries, rounded up, so that even the last call of a long chain gets
// one, and parallel calls share the rest.
func (a *Account) Delegate() int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.closed {
		return 0
	}
	allowance := (a.left + 1) / 2
	a.left -= allowance
	return allowance
}

// ReturnUnused puts back the unused retries of an allowance. unused is clamped to the range 0 to
// allowance, so that a callee cannot create retries. After Close it does nothing, and
// retries that are returned late are lost.
func (a *Account) ReturnUnused(allowance, unused int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.closed {
		return
	}
	a.left += min(max(unused, 0), allowance)
}

// Left returns the number of remaining retries.
func (a *Account) Left() int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.left
}

// Close closes the account and returns the number of unused retries, which the answer
// returns to the caller. Further calls of Close return 0.
func (a *Account) Close() int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.closed {
		return 0
	}
	a.closed = true
	unused := a.left
	a.left = 0
	return unused
}
