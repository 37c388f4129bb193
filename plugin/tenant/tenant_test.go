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

// newAuthenticator returns one whose policy was proven the given time ago, negative for
// never.
func newAuthenticator(document *policy.Document, age time.Duration) *authenticator {
	index := policy.NewIndex(document)
	dialect := wire.Dialect{}
	return &authenticator{
		policy:          func() *policy.Index { return index },
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

func TestWhoIsLetIn(t *testing.T) {
	const fresh, old, never = time.Second, revocation, time.Duration(-1)
	cases := []struct {
		name   string
		call   kernel.Call
		age    time.Duration
		code   result.Code // 0: the call goes on
		tenant string
	}{
		{"a good key", kernel.Call{External: true, Credential: "secret-2"}, fresh, 0, "usual"},
		{"an unknown key", kernel.Call{External: true, Credential: "secret-3"}, fresh, result.KeyUnknown, ""},
		{"no key", kernel.Call{External: true}, fresh, result.KeyUnknown, ""},
		{"a good key under an old policy", kernel.Call{External: true, Credential: "secret-2"}, old, result.KeysUnproven, ""},
		{"an unknown key under an old policy", kernel.Call{External: true, Credential: "secret-3"}, old, result.KeysUnproven, ""},
		{"a good key under a policy that was never proven", kernel.Call{External: true, Credential: "secret-2"}, never, result.KeysUnproven, ""},
		{"a public route without a key", kernel.Call{External: true, Policy: policy.Effective{Public: true}}, old, 0, ""},
		{"a public route with an unknown key", kernel.Call{External: true, Credential: "secret-3", Policy: policy.Effective{Public: true}}, old, 0, ""},
		{"a public route with a key", kernel.Call{External: true, Credential: "secret-2", Policy: policy.Effective{Public: true}}, old, 0, "usual"},
		{"a call of the back end", kernel.Call{}, old, 0, ""},
		{"a call that seems to be of the back end", kernel.Call{ParentGuessed: true}, fresh, result.KeyUnknown, ""},
		{"the same on a public route", kernel.Call{ParentGuessed: true, Policy: policy.Effective{Public: true}}, old, 0, ""},
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
			is.True(!strings.Contains(typed.Error(), "secret")) // keys are in no message
			is.Equal(typed.RetryAfter > 0, c.code == result.KeysUnproven)
		})
	}
}

func TestThePriorityOfATenantGoesBeforeThatOfTheRoute(t *testing.T) {
	is := is.New(t)
	a := newAuthenticator(keyedPolicy(), 0)
	priority := func(key string, class policy.Class) int {
		call := &kernel.Call{External: true, Credential: key, Header: http.Header{}, Request: "r", Priority: 3}
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

// TestTenantsOfOneClassAreOrderedByTheRoute: their class must not level the routes.
func TestTenantsOfOneClassAreOrderedByTheRoute(t *testing.T) {
	is := is.New(t)
	document := keyedPolicy()
	document.Tenants[1].Class = document.Tenants[0].Class
	call := &kernel.Call{External: true, Credential: "secret-1", Header: http.Header{}, Request: "r", Priority: 3}
	is.NoErr(newAuthenticator(document, 0).authenticate(call))
	is.Equal(call.Priority, 3)
}

// TestNoKeyOutlivesItsRevocation: a request that was sent later than the revocation time
// after a key was taken away is never let in, since its policy was proven before that.
func TestNoKeyOutlivesItsRevocation(t *testing.T) {
	is := is.New(t)
	is.True(maximumProofAge(revocation) < revocation)
	is.Equal(maximumProofAge(0), time.Duration(0))
	open := newAuthenticator(keyedPolicy(), time.Hour)
	open.maximumProofAge = maximumProofAge(0) // nothing is promised of processes that are cut off
	is.NoErr(open.authenticate(&kernel.Call{External: true, Credential: "secret-2", Header: http.Header{}}))
}

func TestWithoutTenantsEverybodyIsLetIn(t *testing.T) {
	is := is.New(t)
	a := newAuthenticator(nil, -1)
	is.NoErr(a.authenticate(&kernel.Call{External: true, Credential: "any", Header: http.Header{}}))
}

// BenchmarkAuthenticate measures what finding the tenant of a call adds to it.
func BenchmarkAuthenticate(b *testing.B) {
	a := newAuthenticator(keyedPolicy(), 0)
	header := http.Header{"Accept": {"*/*"}, "Host": {"shop.example"}}
	call := &kernel.Call{External: true, Credential: "secret-2", Header: header, Request: "0123456789ab-1"}
	b.ReportAllocs()
	for b.Loop() {
		if err := a.authenticate(call); err != nil {
			b.Fatal(err)
		}
	}
}

// TestAProofOfANewerPolicySaysNothingOfAnOlderOne: it comes between two steps.
func TestAProofOfANewerPolicySaysNothingOfAnOlderOne(t *testing.T) {
	is := is.New(t)
	a := newAuthenticator(keyedPolicy(), 0)
	index, wasRead := a.policy(), false
	a.policy = func() *policy.Index {
		wasRead = true
		return index
	}
	a.proof = func(time.Time) (time.Duration, bool) {
		if wasRead { // a newer policy is in force by now
			return 0, true
		}
		return time.Hour, true
	}
	err := a.authenticate(&kernel.Call{External: true, Credential: "secret-2", Header: http.Header{}})
	is.Equal(result.From(err).Code, result.KeysUnproven)
}
