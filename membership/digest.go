package membership

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Lists are compared bucket by bucket. With more buckets, fewer unchanged records are
// sent along with a changed one, but the digests of each comparison take more bytes.
const (
	bucketCount = 256
	bucketSize  = 4 // bytes
)

// digests holds one hash for each bucket of a member list. Members are assigned to
// buckets by a hash of their id. Equal lists have equal digests, whatever the order of
// their updates.
type digests [bucketCount]uint32

func bucketOf(id string) int { return int(xxhash.Sum64String(id) % bucketCount) }

// toggle adds a record to the digests, or removes one that was added.
func (d *digests) toggle(member Member) { d[bucketOf(member.ID)] ^= uint32(hashMember(member)) }

// hashMember returns the contribution of one record to the digest of its bucket. It
// leaves out Accuser, which differs between processes, and is 0 for dead members, which
// some processes have forgotten or never knew.
func hashMember(member Member) uint64 {
	if member.Status == Dead {
		return 0
	}
	var buffer [128]byte
	text := append(buffer[:0], member.ID...)
	text = append(text, ' ')
	text = strconv.AppendUint(text, member.Incarnation, 10)
	text = append(text, ' ')
	text = strconv.AppendInt(text, int64(member.Status), 10)
	return xxhash.Sum64(text)
}

// pack encodes the digests for Message.Buckets.
func (d *digests) pack() []byte {
	packed := make([]byte, 0, bucketCount*bucketSize)
	for _, part := range d {
		packed = binary.LittleEndian.AppendUint32(packed, part)
	}
	return packed
}

// combined returns the digest of the complete list.
func (d *digests) combined() uint64 { return xxhash.Sum64(d.pack()) }

// differing returns the buckets whose digest differs from the received ones, or all buckets
// if packed has the wrong length.
func (d *digests) differing(packed []byte) (differs [bucketCount]bool) {
	complete := len(packed) == bucketCount*bucketSize
	for i, part := range d {
		differs[i] = !complete || binary.LittleEndian.Uint32(packed[i*bucketSize:]) != part
	}
	return differs
}

// membersIn returns the members in the given buckets, in order of id.
func (m *Machine) membersIn(buckets [bucketCount]bool) []Member {
	found := []Member{}
	for _, member := range m.Members() {
		if buckets[bucketOf(member.ID)] {
			found = append(found, member)
		}
	}
	return found
}
