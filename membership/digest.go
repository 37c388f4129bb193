package membership

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// bucketCount is the number of parts in which lists are compared. With more, less
// is sent beside what differs; each takes bucketSize bytes of the comparison.
const (
	bucketCount = 256
	bucketSize  = 4 // bytes
)

// digests are hashes of the parts of a list of members, by the hash of their ids.
// Equal lists have equal digests, in whatever order they came about.
type digests [bucketCount]uint32

func bucketOf(id string) int { return int(xxhash.Sum64String(id) % bucketCount) }

// toggle adds a record, or takes it out again.
func (d *digests) toggle(member Member) { d[bucketOf(member.ID)] ^= uint32(hashMember(member)) }

// hashMember is the share of one record in the digest of a list. Who suspects
// a member does not count, since it differs between processes, nor do dead members,
// which some processes have forgotten or never knew.
func hashMember(member Member) uint64 {
	if member.Status == Dead {
		return 0
	}
	var buffer [128]byte
	text := append(buffer[:0], member.ID...)
	text = append(text, ' ')
	text = strconv.AppendUint(text, member.Version, 10)
	text = append(text, ' ')
	text = strconv.AppendInt(text, int64(member.Status), 10)
	return xxhash.Sum64(text)
}

// pack returns the digests as they are sent.
func (d *digests) pack() []byte {
	packed := make([]byte, 0, bucketCount*bucketSize)
	for _, part := range d {
		packed = binary.LittleEndian.AppendUint32(packed, part)
	}
	return packed
}

// whole is the digest of the whole list.
func (d *digests) whole() uint64 { return xxhash.Sum64(d.pack()) }

// differing returns the parts that another process has otherwise. One that did
// not tell its digests has them all otherwise.
func (d *digests) differing(packed []byte) (differs [bucketCount]bool) {
	told := len(packed) == bucketCount*bucketSize
	for i, part := range d {
		differs[i] = !told || binary.LittleEndian.Uint32(packed[i*bucketSize:]) != part
	}
	return differs
}

// membersIn returns the members of some parts of the list, in order of id.
func (m *Machine) membersIn(parts [bucketCount]bool) []Member {
	found := []Member{}
	for _, member := range m.Members() {
		if parts[bucketOf(member.ID)] {
			found = append(found, member)
		}
	}
	return found
}
