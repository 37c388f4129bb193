package quarantine

import (
	"testing"

	"github.com/matryer/is"
)

// TestStoreKey guards the key that processes of different versions share. The golden files of
// package wire cover the JSON form of the value, a wire.Crashes.
func TestStoreKey(t *testing.T) {
	is := is.New(t)
	is.Equal(storeKey, "quarantine")
}
