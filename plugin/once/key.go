package once

import (
	"github.com/loomcleat/loomcleat/claims"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/wire"
)

// writeKey adds the claim key of a call, which plug-in identity has set, to the call context.
func writeKey(call *kernel.Call, callContext *wire.CallContext) {
	if call.ClaimKey != (claims.Key{}) {
		callContext.ClaimKey = call.ClaimKey.String()
	}
}

// readKey sets the claim key of a call from the received call context. The keys of calls
// that the back end makes for the request are derived from it. It returns a
// result.BadRequest error for a malformed key.
func readKey(call *kernel.Call, callContext *wire.CallContext) error {
	fromMesh := callContext.Request != "" // Keys from callers outside the mesh are ignored.
	if fromMesh && callContext.ClaimKey != "" {
		if err := call.ClaimKey.UnmarshalText([]byte(callContext.ClaimKey)); err != nil {
			return err
		}
	}
	call.Execution.Identity = call.ClaimKey.String()
	return nil
}
