package quarantine

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"

	"github.com/loomcleat/loomcleat/result"
)

// signatureSize is the size of a signature in bytes. With 96 bits, two of a billion
// requests share one with a chance of one in 10^11.
const signatureSize = 12

// Signature names what a request asks for: it is the same for all attempts of a request
// and for all tries of its caller, at whichever process they arrive.
type Signature [signatureSize]byte

// Request is what a signature is made of.
type Request struct {
	Method string
	Host   string
	Target string // path and query
	Tenant string // for whom the caller speaks, "" when that is not known
	Body   uint64 // a hash of the body, 0 for one that is passed on while it arrives
}

// SignatureOf returns the signature of a request.
func SignatureOf(request Request) Signature {
	text := make([]byte, 0, 256)
	for _, field := range []string{request.Method, request.Host, request.Target, request.Tenant} {
		text = binary.AppendUvarint(text, uint64(len(field))) // so that fields can't run into each other
		text = append(text, field...)
	}
	text = binary.BigEndian.AppendUint64(text, request.Body)
	digest := sha256.Sum256(text)
	return Signature(digest[:signatureSize])
}

// String returns the signature as it stands in logs and messages.
func (s Signature) String() string { return base64.RawURLEncoding.EncodeToString(s[:]) }

// MarshalText implements encoding.TextMarshaler.
func (s Signature) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It returns a result.BadRequest
// error for a text that is no signature.
func (s *Signature) UnmarshalText(text []byte) error {
	data, err := base64.RawURLEncoding.DecodeString(string(text))
	if err != nil || len(data) != signatureSize {
		return result.New(result.BadRequest, "%q is no signature of a request", text)
	}
	copy(s[:], data)
	return nil
}
