// Package emulator simulates a cluster under load in virtual time, to test how the decision
// code performs under overload. Back ends, networks and clients are models; the decisions
// are made by the packages that the daemon uses: admission, balance and retrybudget. Runs
// with the same seed are identical.
//
// The package owns the model, which consists of test files only, and relies on package
// simulation for virtual time. The modelled gateways have no route table: they refuse early
// by level, not by gate. The cost of setting up connections is not modelled.
//
//	go test ./internal/emulator -run TestOverload -v
//
// prints the figures of each scenario.
package emulator
