// Package spread decides how a document that changes under a rising revision reaches all
// processes of a mesh: who watches the store, which revision is taken, how new the document
// is estimated to be and how new it is proven to be.
//
// A few processes watch the store; all others hear of new revisions from their
// peers, whose messages all carry the revisions they have. A process takes only
// higher revisions, whatever the store or a peer shows, so that a configuration
// that is in force never goes back.
//
// The package owns the state of one document in one process, in memory. It does no I/O and
// has no clock; plugin/configsync reads the store and talks to peers.
package spread

// Keeper holds the highest revision of one document. It is not safe for
// concurrent use.
type Keeper struct {
	revision uint64
	data     []byte
}

// Offer takes a document when its revision is higher and reports whether it
// did.
func (k *Keeper) Offer(revision uint64, data []byte) bool {
	if revision <= k.revision {
		return false
	}
	k.revision, k.data = revision, data
	return true
}

// Revision returns the revision held, 0 for none.
func (k *Keeper) Revision() uint64 { return k.revision }

// Data returns the document held, nil for none. It must not be changed.
func (k *Keeper) Data() []byte { return k.data }
