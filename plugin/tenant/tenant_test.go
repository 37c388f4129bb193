package tenant

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/admission"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/policy"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/wire"
)

const revocation = 5 * time.Second

// newAuthenticator returns an authenticator whose policy was proven age ago, or never if age is
// negative.
func newAuthenticator(document *policy.Document, age time.Duration) *authenticator {
	index := policy.NewIndex(document)
	dialect := wire.Dialect{}
	return &authenticator{
		policy:          func() *policy.Index { return index },
		mayBeOutdated:   func(uint64) bool { return false },
		proof:           func(time.Time) (time.Duration, bool) { return age, age >= 0 },
		maximumProofAge: maximumProofAge(revocation),
		writeTenant:     dialect.WriteTenant,
	}
}

func keyedPolicy() *policy.Document {
	class := policy.Critical
	return &policy.Document{Revision: 4, KeysRequired: true, Tenants: []policy.Tenant{
		{Name: "urgent", Keys: []policy.KeyDigest{policy.DigestKey("secret-1")}, Class: &class},
		{Name: "usual", Keys: []policy.KeyDigest{policy.DigestKey("secret-2")}},
	}}
}

// TestAuthenticate guards against accepting a caller without a valid key, and against leaking keys
// in errors.
func TestAuthenticate(t *testing.T) {
	const recent, old, never = time.Second, revocation, time.Duration(-1)
	cases := []struct {
		name string
		call kernel.Call
		// Age of the proof of the policy.
		age time.Duration
		// 0 if the call is accepted.
		code   result.Code
		tenant string
	}{
		{"valid key", kernel.Call{External: true, Credential: "secret-2"}, recent, 0, "usual"},
		{"unknown key", kernel.Call{External: true, Credential: "secret-3"}, recent, result.KeyUnknown, ""},
		{"no key", kernel.Call{External: true}, recent, result.KeyUnknown, ""},
		{"valid key, old proof", kernel.Call{External: true, Credential: "secret-2"}, old, result.KeysUnproven, ""},
		{"unknown key, old proof", kernel.Call{External: true, Credential: "secret-3"}, old, result.KeysUnproven, ""},
		{"valid key, no proof", kernel.Call{External: true, Credential: "secret-2"}, never, result.KeysUnproven, ""},
		{"public route, no key", kernel.Call{External: true, Policy: policy.Effective{Public: true}}, old, 0, ""},
		{"public route, unknown key", kernel.Call{External: true, Credential: "secret-3", Policy: policy.Effective{Public: true}}, old, 0, ""},
		{"public route, valid key", kernel.Call{External: true, Credential: "secret-2", Policy: policy.Effective{Public: true}}, old, 0, "usual"},
		{"call of the back end", kernel.Call{}, old, 0, ""},
		{"guessed call of the back end", kernel.Call{ParentGuessed: true}, recent, result.KeyUnknown, ""},
		{"guessed call of the back end, public route", kernel.Call{ParentGuessed: true, Policy: policy.Effective{Public: true}}, old, 0, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			call := c.call
			call.Header = http.Header{}
			passed := false
			handler := newAuthenticator(keyedPolicy(), c.age).middleware(kernel.HandlerFunc(func(*kernel.Call) (*kernel.Answer, error) {
				passed = true
				return nil, nil
			}))
			_, err := handler.Handle(&call)
			is.Equal(passed, c.code == 0)
			is.Equal(call.Tenant, c.tenant)
			is.Equal(call.Header.Get(wire.HeaderTenant), c.tenant)
			if c.code == 0 {
				is.NoErr(err)
				return
			}
			typed := result.From(err)
			is.Equal(typed.Code, c.code)
			is.True(!strings.Contains(typed.Error(), "secret")) // messages contain no keys
			is.Equal(typed.RetryAfter > 0, c.code == result.KeysUnproven)
		})
	}
}

// TestUnknownKeyOfOutdatedPolicy guards against a final refusal of a key that a newer policy may
// have, also of one that comes into force just then.
func TestUnknownKeyOfOutdatedPolicy(t *testing.T) {
	is := is.New(t)
	a := newAuthenticator(keyedPolicy(), time.Second)
	refuse := func(key string) *result.Error {
		return result.From(a.authenticate(&kernel.Call{External: true, Credential: key, Header: http.Header{}}))
	}
	is.Equal(refuse("secret-3").Code, result.KeyUnknown)
	a.mayBeOutdated = func(revision uint64) bool { return revision < keyedPolicy().Revision+1 }
	is.Equal(refuse("secret-3").Code, result.PolicyOutdated)
	is.True(refuse("secret-3").RetryAfter > 0)
	is.Equal(refuse("").Code, result.KeyUnknown) // no policy has a tenant without a key
	newer := keyedPolicy()
	newer.Revision++
	a.mayBeOutdated = func(revision uint64) bool {
		a.policy = func() *policy.Index { return policy.NewIndex(newer) }
		return revision < newer.Revision
	}
	is.Equal(refuse("secret-3").Code, result.PolicyOutdated)
}

// TestTenantClassTakesPrecedence guards against ordering requests by the class of the route before
// that of the tenant.
func TestTenantClassTakesPrecedence(t *testing.T) {
	is := is.New(t)
	a := newAuthenticator(keyedPolicy(), 0)
	priority := func(key string, class policy.Class) int {
		call := &kernel.Call{External: true, Credential: key, Header: http.Header{}, UserRequest: "r", Priority: 3}
		call.Policy.Class = class
		is.NoErr(a.authenticate(call))
		return call.Priority
	}
	urgent, usual := "secret-1", "secret-2"
	is.True(priority(urgent, policy.Bulk) > priority(usual, policy.Interactive))
	is.True(priority(urgent, policy.Critical) > priority(urgent, policy.Bulk))
	is.True(priority(usual, policy.Critical) > priority(usual, policy.Bulk))
	is.Equal(admission.ClassOf(priority(urgent, policy.Bulk)), int(policy.Critical))
}

// TestRouteClassOrdersTenantsOfOneClass guards against losing the order of routes when all tenants
// have the same class.
func TestRouteClassOrdersTenantsOfOneClass(t *testing.T) {
	is := is.New(t)
	document := keyedPolicy()
	document.Tenants[1].Class = document.Tenants[0].Class
	call := &kernel.Call{External: true, Credential: "secret-1", Header: http.Header{}, UserRequest: "r", Priority: 3}
	is.NoErr(newAuthenticator(document, 0).authenticate(call))
	is.Equal(call.Priority, 3)
}

// TestMaximumProofAge guards against accepting a key later than the revocation time after it was
// revoked.
func TestMaximumProofAge(t *testing.T) {
	is := is.New(t)
	is.True(maximumProofAge(revocation) < revocation)
	is.Equal(maximumProofAge(0), time.Duration(0))
	unlimited := newAuthenticator(keyedPolicy(), time.Hour)
	unlimited.maximumProofAge = maximumProofAge(0) // no revocation time: no proof is needed
	is.NoErr(unlimited.authenticate(&kernel.Call{External: true, Credential: "secret-2", Header: http.Header{}}))
}

// TestNoTenants checks that all callers are accepted if the policy has no tenants.
func TestNoTenants(t *testing.T) {
	is := is.New(t)
	a := newAuthenticator(nil, -1)
	is.NoErr(a.authenticate(&kernel.Call{External: true, Credential: "any", Header: http.Header{}}))
}

// BenchmarkAuthenticate measures the cost of authentication per call.
func BenchmarkAuthenticate(b *testing.B) {
	a := newAuthenticator(keyedPolicy(), 0)
	header := http.Header{"Accept": {"*/*"}, "Host": {"shop.example"}}
	call := &kernel.Call{External: true, Credential: "secret-2", Header: header, UserRequest: "0123456789ab-1"}
	b.ReportAllocs()
	for b.Loop() {
		if err := a.authenticate(call); err != nil {
			b.Fatal(err)
		}
	}
}

// TestProofOfNewerPolicy guards against trusting the keys of an old policy by the proof of a newer
// one that comes into force during authentication.
func TestProofOfNewerPolicy(t *testing.T) {
	is := is.New(t)
	a := newAuthenticator(keyedPolicy(), 0)
	index, wasRead := a.policy(), false
	a.policy = func() *policy.Index {
		wasRead = true
		return index
	}
	a.proof = func(time.Time) (time.Duration, bool) {
		if wasRead { // a newer policy is in force
			return 0, true
		}
		return time.Hour, true
	}
	err := a.authenticate(&kernel.Call{External: true, Credential: "secret-2", Header: http.Header{}})
	is.Equal(result.From(err).Code, result.KeysUnproven)
}
