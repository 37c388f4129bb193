package quarantine

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"

	"github.com/loomcleat/loomcleat/result"
)

// signatureSize is the size of a signature in bytes. With 96 bits, the probability that any
// two of a billion requests have the same signature is below 10^-11.
const signatureSize = 12

// Signature identifies the content of a request. It is the same for all attempts of a request
// and all retries by its client, whichever process they enter at.
type Signature [signatureSize]byte

// Request holds the properties of a request that its signature is computed from.
type Request struct {
	Method string
	Host   string
	// Path and query.
	Target string
	// Tenant of the caller, "" if unknown.
	Tenant string
	// Hash of the body, 0 for a body that is streamed.
	Body uint64
}

// SignatureOf returns the signature of a request.
func SignatureOf(request Request) Signature {
	text := make([]byte, 0, 256)
	for _, field := range []string{request.Method, request.Host, request.Target, request.Tenant} {
		text = binary.AppendUvarint(text, uint64(len(field))) // separates the fields unambiguously
		text = append(text, field...)
	}
	text = binary.BigEndian.AppendUint64(text, request.Body)
	digest := sha256.Sum256(text)
	return Signature(digest[:signatureSize])
}

// String returns the signature in the form used in logs and messages.
func (s Signature) String() string { return base64.RawURLEncoding.EncodeToString(s[:]) }

// MarshalText implements encoding.TextMarshaler.
func (s Signature) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It returns a result.BadRequest error if
// the text is not a signature.
func (s *Signature) UnmarshalText(text []byte) error {
	data, err := base64.RawURLEncoding.DecodeString(string(text))
	if err != nil || len(data) != signatureSize {
		return result.New(result.BadRequest, "%q is no signature of a request", text)
	}
	copy(s[:], data)
	return nil
}
