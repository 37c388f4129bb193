package editor_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/policy/editor"
)

func TestStoreKey(t *testing.T) {
	is := is.New(t)
	is.Equal(editor.Key, "loomcleat/policy")
}
