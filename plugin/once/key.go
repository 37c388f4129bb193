package once

import (
	"github.com/loomcleat/loomcleat/claims"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/wire"
)

// writeKey tells a node the key under which a call may run. Plug-in identity has set it.
func writeKey(call *kernel.Call, told *wire.CallContext) {
	if call.ClaimKey != (claims.Key{}) {
		told.ClaimKey = call.ClaimKey.String()
	}
}

// readKey takes the key that the calling process has told. The calls that the back end
// makes for the request get keys derived from it. It returns a result.BadRequest error
// for a key that is malformed.
func readKey(call *kernel.Call, told *wire.CallContext) error {
	fromMesh := told.Request != "" // what callers outside the mesh say of a key does not count
	if fromMesh && told.ClaimKey != "" {
		if err := call.ClaimKey.UnmarshalText([]byte(told.ClaimKey)); err != nil {
			return err
		}
	}
	call.Execution.Identity = call.ClaimKey.String()
	return nil
}
