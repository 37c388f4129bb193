package claims

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"

	"github.com/loomcleat/loomcleat/result"
)

// Key identifies a request that may run at most once.
type Key [16]byte

// NewKey derives a Key from the parts that make requests the same. Each part
// counts separately.
func NewKey(parts ...string) Key {
	digest := sha256.New()
	for _, part := range parts {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		digest.Write(length[:])
		digest.Write([]byte(part))
	}
	var key Key
	copy(key[:], digest.Sum(nil))
	return key
}

// String returns the key in hexadecimal.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// MarshalText implements encoding.TextMarshaler.
func (k Key) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *Key) UnmarshalText(text []byte) error {
	decoded, err := hex.DecodeString(string(text))
	if err != nil || len(decoded) != len(k) {
		return result.New(result.BadRequest, "%q is not a claim key", text)
	}
	copy(k[:], decoded)
	return nil
}

// GroupIndex returns the index of the group of a key among count groups.
func (k Key) GroupIndex(count int) int {
	return int(binary.BigEndian.Uint64(k[:8]) % uint64(count))
}

// Process names a process of the mesh.
type Process struct {
	ID      string `json:"id"`
	Control string `json:"control"` // control address
}

// Group is the replicas of one group at one epoch.
type Group struct {
	Epoch    uint64    `json:"epoch"`
	Replicas []Process `json:"replicas"`
	// Previous is the replicas of the epoch before, whose claims must be
	// collected first. Empty when there are none.
	Previous []Process `json:"previous,omitempty"`
	// Reset says that the claims of earlier epochs are lost, so that replicas
	// wait for the retention time before they vote.
	Reset bool `json:"reset,omitempty"`
}

// HasMajority reports whether a number of the group's replicas is a majority.
func (g Group) HasMajority(count int) bool { return count >= majority(len(g.Replicas)) }

// StoreKey is the key of the Groups document in the store.
const StoreKey = "loomcleat/claim-groups"

// Groups is the document in the store.
type Groups struct {
	Revision uint64  `json:"revision"`
	Groups   []Group `json:"groups"`
}

// DecodeGroups reads a Groups document.
func DecodeGroups(data []byte) (*Groups, error) {
	groups := &Groups{}
	if err := json.Unmarshal(data, groups); err != nil {
		return nil, result.Wrap(result.PolicyInvalid, err, "the claim groups document is not valid JSON")
	}
	return groups, nil
}

// Encode writes the document as JSON.
func (g *Groups) Encode() ([]byte, error) {
	data, err := json.Marshal(g)
	if err != nil {
		return nil, result.Wrap(result.Internal, err, "encoding the claim groups")
	}
	return data, nil
}

// majority is the least number of n replicas of which any two sets share one.
func majority(n int) int { return n/2 + 1 }

// has reports whether a process is among the given ones.
func has(processes []Process, id string) bool {
	for _, process := range processes {
		if process.ID == id {
			return true
		}
	}
	return false
}
