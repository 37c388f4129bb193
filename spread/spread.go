// Package spread distributes a document with increasing revisions to all processes of a mesh.
// It decides which processes watch the store, which revision a process accepts, from which peers it
// fetches a higher one, and when it reads the store itself.
//
// A few processes watch the store. All others receive new revisions from their peers, whose
// messages carry the revisions that they hold. A process accepts only higher revisions,
// whatever the store or a peer reports, so that a configuration in force is never reverted.
//
// The package holds the state of one document in one process, in memory. It does no I/O and
// reads no clock; plugin/configsync reads the store and exchanges messages with peers.
package spread

// CurrentDocument holds the highest revision of one document. It is not safe for concurrent use.
type CurrentDocument struct {
	revision uint64
	data     []byte
}

// Offer replaces the document if the given revision is higher, and reports whether it did.
func (d *CurrentDocument) Offer(revision uint64, data []byte) bool {
	if revision <= d.revision {
		return false
	}
	d.revision, d.data = revision, data
	return true
}

// Revision returns the revision of the document, 0 if there is none.
func (d *CurrentDocument) Revision() uint64 { return d.revision }

// Data returns the document, nil if there is none. It must not be modified.
func (d *CurrentDocument) Data() []byte { return d.data }
