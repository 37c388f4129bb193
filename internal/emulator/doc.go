// Package emulator plays a whole mesh under load in virtual time, to test what the
// decision code reaches under overload. Back ends, networks and callers are models; the
// decisions are made by the code that runs in the daemon: packages admission, balance
// and retrybudget. The same seed gives the same result.
//
// It owns the model, which consists of test files only, and relies on package simulation
// for virtual time. Gateways without a route table are modelled: they refuse early by
// level, not by gate. The cost of setting up connections is not modelled.
//
//	go test ./internal/emulator -run TestOverload -v
//
// prints the figures of each scenario.
package emulator
