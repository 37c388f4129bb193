// Package tenant authenticates callers: it finds the tenant whose key a caller presents, and
// passes the tenant's name to the back end. If the policy requires keys, it refuses callers without
// a valid key, except on public routes.
//
// A process that can't prove that its policy was recently the newest one doesn't know which keys
// have been revoked. It refuses requests that need a key until it has a proof. Requests on public
// routes and calls of its back end are still accepted.
//
// It owns no state. It relies on the policy for tenants and the digests of their keys, and on
// plug-in configsync for the proof.
package tenant

import "github.com/loomcleat/loomcleat/kernel"

const name = "tenant"

func init() { kernel.Register(name, kernel.StageTraffic, setup) }

func setup(process *kernel.Process) error {
	a := &authenticator{
		policy:          process.Policy.Load,
		proof:           process.Documents.PolicyProof,
		mayBeOutdated:   process.Documents.MayBeOutdated,
		maximumProofAge: maximumProofAge(process.Settings.KeyRevocation.Std()),
		writeTenant:     process.Dialect.WriteTenant,
	}
	process.UseOutbound(name, a.middleware)
	return nil
}
