package membership

import "github.com/cespare/xxhash/v2"

// bucketCount is the number of parts in which lists are compared. More make the
// parts smaller that are sent for one change, fewer the comparison itself.
const bucketCount = 32

// digests are hashes of the parts of a list of members, by the hash of their ids.
// Equal lists have equal digests, in whatever order they came about.
type digests [bucketCount]uint64

func bucketOf(id string) int { return int(xxhash.Sum64String(id) % bucketCount) }

// toggle adds a record, or takes it out again.
func (d *digests) toggle(member Member) { d[bucketOf(member.ID)] ^= hashMember(member) }

// whole is the digest of the whole list.
func (d *digests) whole() uint64 {
	sum := uint64(0)
	for _, part := range d {
		sum ^= part
	}
	return sum
}

// differing returns the parts that another process has otherwise. One that did
// not tell its digests has them all otherwise.
func (d *digests) differing(other []uint64) (differs [bucketCount]bool) {
	for i := range d {
		differs[i] = len(other) != bucketCount || other[i] != d[i]
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
