package retrybudget

import "sync"

// Account holds the retries that one process may still spend for one user
// request. It may be used by several goroutines.
type Account struct {
	mutex  sync.Mutex
	left   int
	closed bool
}

// Open returns an Account with the given number of retries. A negative number
// counts as 0.
func Open(retries int) *Account {
	return &Account{left: max(retries, 0)}
}

// Spend takes one retry and reports whether there was one.
func (a *Account) Spend() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.closed || a.left == 0 {
		return false
	}
	a.left--
	return true
}

// Lend takes the part of the account that goes along with one call: half of
// what is left, rounded up, so that the deepest of a chain of calls still gets
// one and parallel calls each get a share.
func (a *Account) Lend() int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.closed {
		return 0
	}
	loan := (a.left + 1) / 2
	a.left -= loan
	return loan
}

// Repay puts back what was not spent of a loan. unspent is cut to the range 0
// to loan, so that a callee cannot create retries. After Close it does nothing:
// what comes back late is lost.
func (a *Account) Repay(loan, unspent int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.closed {
		return
	}
	a.left += min(max(unspent, 0), loan)
}

// Left returns the number of retries that are left.
func (a *Account) Left() int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.left
}

// Close ends the account and returns what is left, to be repaid to the caller.
// Later calls return 0.
func (a *Account) Close() int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.closed {
		return 0
	}
	a.closed = true
	unspent := a.left
	a.left = 0
	return unspent
}
