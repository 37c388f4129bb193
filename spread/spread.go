// Package spread brings a document that changes under a rising revision to all
// processes of a mesh.
//
// A few processes watch the store; all others hear of new revisions from their
// peers, whose messages all carry the revisions they have. A process takes only
// higher revisions, whatever the store or a peer shows, so that a configuration
// that is in force never goes back.
package spread

import "github.com/cespare/xxhash/v2"

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

// Watches reports whether self is among the count processes that watch the
// store: those that rank highest by a hash of their ids. Processes that
// disagree on who is alive may choose different ones, which costs the store a
// few more requests and nothing else.
func Watches(self string, alive []string, count int) bool {
	own := xxhash.Sum64String(self)
	above := 0
	member := false
	for _, id := range alive {
		member = member || id == self
		if xxhash.Sum64String(id) > own {
			above++
		}
	}
	return above < count && (member || len(alive) <= count)
}
