// Package identity gives each call the claim key under which it may run at most once. It does
// nothing unless the setting claims is true. Plug-in once passes the key to nodes and claims it
// there. Package identity owns no state.
package identity

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/loomcleat/loomcleat/claims"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/wire"
)

const name = "identity"

func init() { kernel.Register(name, kernel.StageTraffic, setup) }

func setup(process *kernel.Process) error {
	if !process.Settings.Claims {
		return nil
	}
	process.UseOutbound(name, func(next kernel.Handler) kernel.Handler {
		return kernel.HandlerFunc(func(call *kernel.Call) (*kernel.Answer, error) {
			assigned := assignKey(call)
			identify(call)
			answer, err := next.Handle(call)
			if err == nil && assigned {
				answer.Header.Set(wire.HeaderIdempotencyKey, call.Header.Get(wire.HeaderIdempotencyKey))
			}
			return answer, err
		})
	})
	return nil
}

// assignKey sets the Idempotency-Key of an external request that is not repeatable and has none. It
// reports whether it did; the answer then returns the key to the caller.
func assignKey(call *kernel.Call) bool {
	if !call.External || call.Policy.Repeatable || call.Header.Get(wire.HeaderIdempotencyKey) != "" {
		return false
	}
	call.Header.Set(wire.HeaderIdempotencyKey, call.UserRequest)
	return true
}

// Kinds of claim keys. Keys of different kinds are never equal.
const (
	kindGiven   = "given"   // from an Idempotency-Key
	kindDerived = "derived" // from the user request or the execution that makes the call
)

// identify sets the claim key of a call.
//
// Calls with the same Idempotency-Key for the same operation get the same claim key. Credentials
// and the tenant are part of it, so that callers who choose the same key don't get each other's
// answers.
//
// Without an Idempotency-Key, a call of a back end gets a claim key derived from the execution that
// makes it, so that a repeated execution makes calls with the same claim keys. Other calls get one
// derived from the user request.
func identify(call *kernel.Call) {
	target := call.URL.RequestURI()
	_, buffered := call.Body.Buffered()
	given := call.Header.Get(wire.HeaderIdempotencyKey)
	switch {
	case given != "":
		call.ClaimKey = claims.NewKey(kindGiven, call.Service, call.Method, target, given, callerIdentity(call))
	case call.Execution == nil:
		call.ClaimKey = claims.NewKey(kindDerived, call.UserRequest, call.Service, call.Method, target)
	case buffered:
		call.ClaimKey = executionKey(call, target, strconv.FormatUint(call.Fingerprint, 16))
	default: // a streamed body has no fingerprint, so its length is used
		call.ClaimKey = executionKey(call, target, "streamed "+call.Header.Get("Content-Length"))
	}
}

// callerIdentity returns a string that distinguishes callers who choose the same key.
func callerIdentity(call *kernel.Call) string {
	credentials := call.Header.Get("Authorization")
	if call.Tenant == "" {
		return credentials
	}
	return credentials + " of " + call.Tenant
}

// executionKey returns the claim key of a call by its execution, its content and the number of
// earlier calls with the same content.
func executionKey(call *kernel.Call, target, content string) claims.Key {
	kind := xxhash.Sum64String(call.Service + " " + call.Method + " " + target + " " + content)
	ordinal := call.Execution.NextOrdinal(kind)
	return claims.NewKey(kindDerived, call.Execution.Identity, call.Service, call.Method, target, content, strconv.Itoa(ordinal))
}
