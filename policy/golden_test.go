package policy_test

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/internal/golden"
	"github.com/loomcleat/loomcleat/policy"
	"github.com/loomcleat/loomcleat/result"
)

// Documents written by earlier versions are in operators' stores, so the encoding is fixed.
func TestStoredDocument(t *testing.T) { golden.Message[policy.Document](t, "document.jsonl") }

// A typical operators' document is valid and unchanged by decoding and encoding.
func TestOperatorsDocumentRoundTrip(t *testing.T) {
	is := is.New(t)
	stored, err := os.ReadFile("testdata/golden/operators.json")
	is.NoErr(err)
	document, err := policy.Decode(stored)
	is.NoErr(err)
	encoded, err := document.Encode()
	is.NoErr(err)
	golden.Text(t, "operators.json", append(encoded, '\n'))
}

// The encoding of Effective is printed by `loomcleat config resolve --output json`.
func TestEffectiveEncoding(t *testing.T) { golden.Message[policy.Effective](t, "effective.jsonl") }

// The keys of the tree, their allowed values with units, and their defaults are fixed.
func TestSettingsKeys(t *testing.T) {
	list := &strings.Builder{}
	for _, value := range policy.NewIndex(nil).Resolve("any", "POST", "/").Values() {
		_, err := (&policy.Document{Entries: map[string]policy.Settings{}}).
			Apply("id", "author", time.Time{}, []policy.Change{{Path: "/", Key: value.Key, Value: "?"}})
		var refused *result.Error
		if !errors.As(err, &refused) {
			t.Fatalf("%s=? was accepted", value.Key)
		}
		fmt.Fprintf(list, "%s default %s: %s\n", value.Key, value.Value, refused.Message)
	}
	golden.Text(t, "keys.txt", []byte(list.String()))
}

func TestKeyDigests(t *testing.T) {
	is := is.New(t)
	digest, err := policy.DigestKey("key").MarshalText()
	is.NoErr(err)
	is.Equal(string(digest), "2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683")
}
