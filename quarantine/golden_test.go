package quarantine_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/quarantine"
)

// TestSignaturesOfRequests: processes of two versions must name the same request alike.
func TestSignaturesOfRequests(t *testing.T) {
	is := is.New(t)
	signature := quarantine.SignatureOf(quarantine.Request{
		Method: "GET", Host: "a.example", Target: "/one?two=3", Tenant: "t-1", Body: 42,
	})
	is.Equal(signature.String(), "7pNvfAjJ7zhGVC9n")
}
