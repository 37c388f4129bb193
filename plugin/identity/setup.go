// Package identity gives each call the key under which it may run at most once, with the
// setting claims: true; without claims it does nothing. Plug-in once passes the key on to
// nodes and claims it there.
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
			minted := mintKey(call)
			identify(call)
			answer, err := next.Handle(call)
			if err == nil && minted {
				answer.Header.Set(wire.HeaderIdempotencyKey, call.Header.Get(wire.HeaderIdempotencyKey))
			}
			return answer, err
		})
	})
	return nil
}

// mintKey gives a caller's request that may not be repeated an Idempotency-Key
// when it has none, and reports whether it did. The caller is told the key.
func mintKey(call *kernel.Call) bool {
	if !call.External || call.Policy.Repeatable || call.Header.Get(wire.HeaderIdempotencyKey) != "" {
		return false
	}
	call.Header.Set(wire.HeaderIdempotencyKey, call.Request)
	return true
}

// Kinds of identities, so that keys of one kind never equal those of another.
const (
	kindGiven   = "given"   // by an Idempotency-Key
	kindDerived = "derived" // from the execution that makes the call
)

// identify sets the key and the fingerprint of a call.
//
// With an Idempotency-Key, the same key for the same operation is the same
// call, whoever repeats it. Credentials and the tenant count, so that nobody gets the
// answer of another caller who happened to choose the same key.
//
// Without one, a call of a back end is named after the execution that makes
// it: the same call of a repeated execution gets the same key.
func identify(call *kernel.Call) {
	target := call.URL.RequestURI()
	_, buffered := call.Body.Buffered()
	given := call.Header.Get(wire.HeaderIdempotencyKey)
	switch {
	case given != "":
		call.ClaimKey = claims.NewKey(kindGiven, call.Service, call.Method, target, given, callerOf(call))
	case call.Execution == nil:
		call.ClaimKey = claims.NewKey(kindDerived, call.Request, call.Service, call.Method, target)
	case buffered:
		call.ClaimKey = executionKey(call, target, strconv.FormatUint(call.Fingerprint, 16))
	default: // the length has to stand for the content
		call.ClaimKey = executionKey(call, target, "streamed "+call.Header.Get("Content-Length"))
	}
}

// callerOf tells callers apart who may choose the same keys.
func callerOf(call *kernel.Call) string {
	credentials := call.Header.Get("Authorization")
	if call.Tenant == "" {
		return credentials
	}
	return credentials + " of " + call.Tenant
}

// executionKey names a call after the execution that makes it, its content and
// how many calls of the same content came before.
func executionKey(call *kernel.Call, target, content string) claims.Key {
	kind := xxhash.Sum64String(call.Service + " " + call.Method + " " + target + " " + content)
	ordinal := call.Execution.Ordinal(kind)
	return claims.NewKey(kindDerived, call.Execution.Identity, call.Service, call.Method, target, content, strconv.Itoa(ordinal))
}
