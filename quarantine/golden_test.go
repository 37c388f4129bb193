package quarantine_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/quarantine"
)

// TestSignatureIsStable: processes of different versions must compute the same signature.
func TestSignatureIsStable(t *testing.T) {
	is := is.New(t)
	signature := quarantine.SignatureOf(quarantine.Request{
		Method: "GET", Host: "a.example", Target: "/one?two=3", Tenant: "t-1", Body: 42,
	})
	is.Equal(signature.String(), "7pNvfAjJ7zhGVC9n")
}
