package kernel

import (
	"net/http"

	"github.com/loomcleat/loomcleat/policy"
	"github.com/loomcleat/loomcleat/result"
)

// checkLimits refuses a request whose header or body is larger than the policy allows,
// with a result.HeaderTooLarge or result.BodyTooLarge error. Reading a body of unknown
// length fails at the limit.
func checkLimits(r *http.Request, limits policy.Limits) error {
	if limits.MaximumHeader > 0 {
		if size := headerSize(r); size > limits.MaximumHeader {
			return result.New(result.HeaderTooLarge, "the header has %d bytes, %d are allowed", size, limits.MaximumHeader)
		}
	}
	if limits.MaximumBody <= 0 {
		return nil
	}
	if r.ContentLength > limits.MaximumBody {
		return result.New(result.BodyTooLarge, "the body has %d bytes, %d are allowed", r.ContentLength, limits.MaximumBody)
	}
	if r.ContentLength < 0 {
		r.Body = http.MaxBytesReader(nil, r.Body, limits.MaximumBody)
	}
	return nil
}

// headerSize returns the size in bytes of the request target, the host and the names and
// values of the header, without separators.
func headerSize(r *http.Request) int64 {
	size := len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return int64(size)
}
