package kernel

import (
	"net/http"

	"github.com/loomcleat/loomcleat/policy"
	"github.com/loomcleat/loomcleat/result"
)

// checkLimits refuses a caller's request that is larger than the policy allows.
// A body whose length is not known is cut off at the limit, which breaks the
// request. It returns result.HeaderTooLarge and result.BodyTooLarge errors.
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

// headerSize returns the bytes of the names and values of a header and of the
// target. What separates them is not counted.
func headerSize(r *http.Request) int64 {
	size := len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return int64(size)
}
