// Package retrybudget counts how many retries may still be made. It provides three budgets
// and depends on no other part of the mesh. Package retry decides whether a call is worth a
// retry. Settings select the budgets: an Account always applies, together with a Ratio or a
// Shared.
//
// An Account bounds the retries that one user request may cause in its whole call graph,
// without messages of its own. The process where a user request enters grants it a number
// of retries. In each process, an Account holds the retries that may still be made on behalf
// of the request. With each call, the process delegates some of them to the callee as an
// allowance (Delegate), with which the callee opens its own Account. The answer returns the
// unused ones (ReturnUnused). A lost answer loses the allowance of its call.
//
// At any time, the sum over all accounts, all allowances in transit and all retries made is
// at most the grant. The sum never grows, so that the bound holds for any depth and width of
// the call graph and for any lost message.
//
// A Ratio bounds the retries of one process to one service as a share of its calls. A
// Shared bounds those of all processes together in every window of time.
package retrybudget
