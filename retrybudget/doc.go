// Package retrybudget counts how many retries may still be made. It owns three budgets and
// relies on nothing; when a call is worth a retry is decided by package retry. Settings say
// which budgets hold: an Account always does, with a Ratio or a Shared beside it.
//
// An Account bounds the retries that one user request may cause in a whole call graph,
// without any message of its own. The process at which a user request enters grants it a
// number of retries. An Account holds what one process may still spend on behalf of the
// request. With each call that the process makes for it, it lends a part of the account to
// the callee (Lend); the callee opens its own Account with that loan. With the answer comes
// what was not spent (Repay). A lost answer loses its loan.
//
// Retries are never counted twice: at any moment the sum over all accounts, all loans in
// flight and all retries made is at most the grant. The sum can only shrink. The bound
// therefore holds however deep or wide the call graph is and whatever is lost.
//
// A Ratio bounds the retries of one process to one service as a share of its calls. A
// Shared bounds those of all processes together, in every window of time.
package retrybudget
