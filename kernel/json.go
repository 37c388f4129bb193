package kernel

import (
	"encoding/json"
	"net/http"

	"github.com/loomcleat/loomcleat/result"
)

// WriteJSON answers a control request with value as JSON.
func WriteJSON(w http.ResponseWriter, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		result.Wrap(result.Internal, err, "encoding an answer").WriteHTTP(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

// maximumControlBody is the largest control message, in bytes. The largest ones transfer
// claims to another replica.
const maximumControlBody = 64 << 20

// ReadJSON decodes a control request. When it is malformed, ReadJSON answers it with
// result.BadRequest and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maximumControlBody))
	if err := decoder.Decode(into); err != nil {
		result.Wrap(result.BadRequest, err, "the control message is not understood").WriteHTTP(w)
		return false
	}
	return true
}
