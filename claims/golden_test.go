package claims_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/claims"
	"github.com/loomcleat/loomcleat/internal/golden"
)

// TestTheStoredGroups: the document in the store and its key.
func TestTheStoredGroups(t *testing.T) {
	is := is.New(t)
	golden.Message[claims.Groups](t, "groups.jsonl")
	is.Equal(claims.StoreKey, "loomcleat/claim-groups")
}

// TestKeysOfRequests: processes of two versions must name the same request alike, and
// find its group alike.
func TestKeysOfRequests(t *testing.T) {
	is := is.New(t)
	key := claims.NewKey("given", "booking", "POST", "/pay", "k-1", "")
	is.Equal(key.String(), "88280653ed287c140f8489fef7922dab")
	is.Equal(key.GroupIndex(16), 4)
}
