package kernel

import (
	"encoding/json"
	"net/http"

	"github.com/loomcleat/loomcleat/result"
)

// WriteJSON answers a control request.
func WriteJSON(w http.ResponseWriter, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		result.Wrap(result.Internal, err, "encoding an answer").WriteHTTP(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

// maximumControlBody bounds control messages, in bytes. The largest are claims
// that are handed over.
const maximumControlBody = 64 << 20

// ReadJSON reads a control request and answers it when it is malformed. It
// reports whether the request was read.
func ReadJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maximumControlBody))
	if err := decoder.Decode(into); err != nil {
		result.Wrap(result.BadRequest, err, "the control message is not understood").WriteHTTP(w)
		return false
	}
	return true
}
