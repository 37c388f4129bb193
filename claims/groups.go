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

// NewKey derives a Key from the parts that identify a request. Parts are delimited:
// "ab", "c" and "a", "bc" give different keys.
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

// GroupIndex returns the index of the key's group among count groups.
func (k Key) GroupIndex(count int) int {
	return int(binary.BigEndian.Uint64(k[:8]) % uint64(count))
}

// Process identifies a process of the mesh.
type Process struct {
	ID string `json:"id"`
	// Control is the address for control messages.
	Control string `json:"control"`
}

// Group lists the replicas of one group at one epoch.
type Group struct {
	Epoch    uint64    `json:"epoch"`
	Replicas []Process `json:"replicas"`
	// Previous lists the replicas of the previous epoch, whose claims must be
	// collected before the new replicas vote. Empty at the first epoch and after
	// a reset.
	Previous []Process `json:"previous,omitempty"`
	// Reset reports that the claims of earlier epochs are lost, so replicas wait
	// for the retention time before they vote.
	Reset bool `json:"reset,omitempty"`
}

// HasMajority reports whether count replicas are a majority of the group.
func (g Group) HasMajority(count int) bool { return count >= majority(len(g.Replicas)) }

// StoreKey is the key of the Groups document in the store.
const StoreKey = "loomcleat/claim-groups"

// Groups is the document in the store that lists all groups.
type Groups struct {
	Revision uint64  `json:"revision"`
	Groups   []Group `json:"groups"`
}

// DecodeGroups parses a Groups document. It returns a result.PolicyInvalid error
// if data is not valid JSON.
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

// majority returns the smallest size at which any two subsets of n replicas
// intersect.
func majority(n int) int { return n/2 + 1 }

func containsProcess(processes []Process, id string) bool {
	for _, process := range processes {
		if process.ID == id {
			return true
		}
	}
	return false
}
