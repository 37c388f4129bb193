// Package tenant authenticates callers: it finds the tenant whose key a caller presents, and
// passes its name to the back end. Where keys are required, a caller without a valid one is
// refused.
//
// A process that cannot prove that its policy was the newest one a moment ago does not know
// which keys were revoked since. It refuses requests with keys until it can; public routes
// and the calls of its back end go on.
//
// It owns no state. It relies on the policy for tenants and the digests of their keys, and
// on plugin configsync for the proof.
package tenant

import "github.com/loomcleat/loomcleat/kernel"

const name = "tenant"

func init() { kernel.Register(name, kernel.StageTraffic, setup) }

func setup(process *kernel.Process) error {
	a := &authenticator{
		policy:          process.Policy.Load,
		proof:           process.Documents.PolicyProof,
		maximumProofAge: maximumProofAge(process.Settings.KeyRevocation.Std()),
		writeTenant:     process.Dialect.WriteTenant,
	}
	process.UseOutbound(name, a.middleware)
	return nil
}
