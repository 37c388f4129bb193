package claims_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/claims"
	"github.com/loomcleat/loomcleat/internal/golden"
)

// The encoding of the document in the store and its key are fixed.
func TestStoredGroups(t *testing.T) {
	is := is.New(t)
	golden.Message[claims.Groups](t, "groups.jsonl")
	is.Equal(claims.StoreKey, "loomcleat/claim-groups")
}

// Processes of different versions must derive the same key and group for a request.
func TestRequestKeys(t *testing.T) {
	is := is.New(t)
	key := claims.NewKey("given", "booking", "POST", "/pay", "k-1", "")
	is.Equal(key.String(), "88280653ed287c140f8489fef7922dab")
	is.Equal(key.GroupIndex(16), 4)
}
